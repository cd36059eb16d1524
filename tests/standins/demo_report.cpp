#include "standins/demo_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace dragonflymill::standins {

namespace {

/// Range of prompt lengths of one line of the table; `limit` is exclusive, in tokens.
struct length_bucket
{
    const char* name;
    token_count limit;
};

constexpr length_bucket buckets[] = {{"1k to 4k", 4'000},
                                     {"4k to 32k", 32'000},
                                     {"32k to 100k", 100'000},
                                     {"100k to 400k", 400'000},
                                     {"400k to 1M", 1'000'001}};

constexpr double thousand = 1'000.0;

auto milliseconds(duration value) -> double
{
    return static_cast<double>(value.count()) / thousand;
}

template <typename... Values>
auto line(const char* format, Values... values) -> std::string
{
    std::array<char, 200> text{};
    std::snprintf(text.data(), text.size(), format, values...);
    return std::string(text.data()) + "\n";
}

auto format_value(const std::optional<double>& value, int decimals) -> std::string
{
    if (!value) {
        return "-";
    }
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, *value);
    return text.data();
}

auto percentiles_line(const std::string& name, const std::vector<double>& values, int decimals) -> std::string
{
    return line("  %-22s %6zu %10s %10s %10s", name.c_str(), values.size(),
                format_value(percentile(values, 50), decimals).c_str(),
                format_value(percentile(values, 95), decimals).c_str(),
                format_value(percentile(values, 99), decimals).c_str());
}

auto in_mix(const completion_result& item) -> bool
{
    return item.phase != demo_phase::warm_up && item.phase != demo_phase::alone;
}

auto first_token_lines(const demo_results& results) -> std::string
{
    std::string out = line("%-24s %6s %10s %10s %10s", "First token, ms", "count", "p50", "p95", "p99");
    token_count low = 0;
    for (const auto& bucket : buckets) {
        std::vector<double> values;
        for (const auto& item : results.completions) {
            const bool in_bucket = item.plan.tokens >= low && item.plan.tokens < bucket.limit;
            if (in_bucket && item.first_token && in_mix(item)) {
                values.push_back(milliseconds(*item.first_token));
            }
        }
        out += percentiles_line(bucket.name, values, 1);
        low = bucket.limit;
    }
    return out;
}

/// Total time in ms of each short request sent alone, by template; without those that weren't answered.
auto times_alone(const demo_results& results) -> std::map<int, double>
{
    std::map<int, double> out;
    for (const auto& item : results.completions) {
        if (item.phase == demo_phase::alone && item.end == completion_end::answered) {
            out[item.plan.short_template] = milliseconds(item.whole);
        }
    }
    return out;
}

auto slowdown_lines(const demo_results& results) -> std::string
{
    const auto alone = times_alone(results);
    std::vector<double> values;
    for (const auto& item : results.completions) {
        const auto found = alone.find(item.plan.short_template);
        if (in_mix(item) && item.end == completion_end::answered && found != alone.end()) {
            values.push_back(milliseconds(item.whole) / found->second);
        }
    }
    return line("%-24s %6s %10s %10s %10s", "Short requests", "count", "p50", "p95", "p99") +
           percentiles_line("time in mix / alone", values, 2);
}

auto phase_line(const demo_results& results, demo_phase phase) -> std::string
{
    std::int64_t sent = 0;
    std::array<std::int64_t, completion_end_count> ends{};
    std::vector<double> first;
    for (const auto& item : results.completions) {
        if (item.phase != phase) {
            continue;
        }
        ++sent;
        ++ends[static_cast<std::size_t>(item.end)];
        if (item.first_token && item.plan.short_template >= 0) {
            first.push_back(milliseconds(*item.first_token));
        }
    }
    const auto lost = ends[static_cast<std::size_t>(completion_end::failed)] +
                      ends[static_cast<std::size_t>(completion_end::broken)] +
                      ends[static_cast<std::size_t>(completion_end::wrong)];
    return line("  %-22s %6lld %10lld %10lld %10lld %10s %10s", to_string(phase),
                static_cast<long long>(sent),
                static_cast<long long>(ends[static_cast<std::size_t>(completion_end::answered)]),
                static_cast<long long>(ends[static_cast<std::size_t>(completion_end::refused)]),
                static_cast<long long>(lost), format_value(percentile(first, 50), 1).c_str(),
                format_value(percentile(first, 95), 1).c_str());
}

auto service_lines(const demo_results& results) -> std::string
{
    std::string out = line("%-24s %6s %10s %10s %10s %10s %10s", "Service by phase", "sent", "answered",
                           "refused", "lost", "short p50", "short p95");
    for (std::size_t phase = 0; phase < demo_phase_count; ++phase) {
        out += phase_line(results, static_cast<demo_phase>(phase));
    }
    if (results.work_at_drained) {
        out += line("  streams begun in the domain taken out, after the grace time: %lld",
                    static_cast<long long>(*results.work_at_drained));
    }
    return out;
}

auto count_end(const demo_results& results, completion_end end) -> std::int64_t
{
    return std::count_if(results.completions.begin(), results.completions.end(),
                         [end](const auto& item) { return item.end == end; });
}

auto completion_lines(const demo_results& results) -> std::string
{
    std::string out =
        line("%-24s %6s %10s %10s %10s %10s", "Requests", "sent", "answered", "refused", "lost", "doubled");
    out += line("  %-22s %6zu %10lld %10lld %10lld %10s", "completions", results.completions.size(),
                static_cast<long long>(count_end(results, completion_end::answered)),
                static_cast<long long>(count_end(results, completion_end::refused)),
                static_cast<long long>(lost_completions(results)), "-");
    std::int64_t confirmed = 0;
    for (const auto& item : results.bookings) {
        confirmed += item.confirmations > 0 ? 1 : 0;
    }
    const auto refused =
        std::count_if(results.bookings.begin(), results.bookings.end(), [](const auto& item) {
            return item.confirmations == 0 && item.surely_not_run && item.executions == 0;
        });
    out += line("  %-22s %6zu %10lld %10lld %10lld %10lld", "bookings", results.bookings.size(),
                static_cast<long long>(confirmed), static_cast<long long>(refused),
                static_cast<long long>(lost_bookings(results)),
                static_cast<long long>(doubled_bookings(results)));
    for (const auto& [code, tally] : results.refusals) {
        out +=
            line("  refusals met, also those retried: %s %lld, in the warm-up %lld, come again after at most "
                 "%s ms",
                 code.c_str(), static_cast<long long>(tally.later), static_cast<long long>(tally.in_warm_up),
                 format_value(milliseconds(tally.longest_retry_after), 0).c_str());
    }
    return out;
}

auto failure_lines(const demo_results& results) -> std::string
{
    std::string out;
    for (const auto& item : results.completions) {
        if (item.end != completion_end::answered && item.phase != demo_phase::warm_up) {
            out += line("  not answered: %lld tokens, %s: %s", static_cast<long long>(item.plan.tokens),
                        to_string(item.phase), item.why.c_str());
        }
    }
    for (const auto& item : results.bookings) {
        if (item.executions != 1 || item.confirmations == 0) {
            out += line("  booking %s, %s: executed %lld, confirmed %d, unknown %d, not run %d: %s",
                        item.key.c_str(), to_string(item.phase), static_cast<long long>(item.executions),
                        item.confirmations, item.unknown, item.not_run, item.why.c_str());
        }
    }
    return out;
}

auto memory_lines(const demo_results& results) -> std::string
{
    token_count held = 0;
    std::int64_t falls = 0;
    std::int64_t unread = 0;
    for (const auto& engine : results.engines) {
        held += std::max<token_count>(0, engine.memory_used);
        falls += engine.falls;
        unread += engine.memory_used < 0 ? 1 : 0;
    }
    return line("Memory held at %zu engines afterwards: %lld tokens (not readable: %lld)",
                results.engines.size(), static_cast<long long>(held), static_cast<long long>(unread)) +
           line("Engines that fell over in cold start: %lld", static_cast<long long>(falls)) +
           line("Time of the run: %.1f s", milliseconds(results.length) / thousand);
}

/// States the verdict, and how many completions were refused: refusals don't count as losses, but a run in
/// which most were refused proves little.
auto summary_line(const demo_results& results) -> std::string
{
    const auto sent = std::count_if(results.completions.begin(), results.completions.end(), in_mix);
    const auto refused =
        std::count_if(results.completions.begin(), results.completions.end(),
                      [](const auto& item) { return in_mix(item) && item.end == completion_end::refused; });
    return line("%s; %lld of %lld completions of the mix were refused to the last.",
                is_clean(results) ? "Nothing lost, doubled or leaked" : "FAILED, see the lines above",
                static_cast<long long>(refused), static_cast<long long>(sent));
}

} // namespace

auto percentile(std::vector<double> values, double percent) -> std::optional<double>
{
    if (values.empty()) {
        return std::nullopt;
    }
    std::sort(values.begin(), values.end());
    const auto rank = std::ceil(percent / 100.0 * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

auto lost_completions(const demo_results& results) -> std::int64_t
{
    return count_end(results, completion_end::failed) + count_end(results, completion_end::broken) +
           count_end(results, completion_end::wrong);
}

auto lost_bookings(const demo_results& results) -> std::int64_t
{
    return std::count_if(results.bookings.begin(), results.bookings.end(), [](const auto& item) {
        const bool confirmed = item.confirmations > 0;
        const bool in_doubt = !confirmed && !item.surely_not_run;
        return confirmed != (item.executions > 0) || in_doubt;
    });
}

auto doubled_bookings(const demo_results& results) -> std::int64_t
{
    return std::count_if(results.bookings.begin(), results.bookings.end(),
                         [](const auto& item) { return item.executions > 1; });
}

auto is_clean(const demo_results& results) -> bool
{
    const bool no_leak = std::all_of(results.engines.begin(), results.engines.end(),
                                     [](const auto& engine) { return engine.memory_used == 0; });
    const bool drained = results.work_at_drained.value_or(0) == 0;
    return lost_completions(results) == 0 && lost_bookings(results) == 0 && doubled_bookings(results) == 0 &&
           no_leak && drained && results.actions_done;
}

auto report_text(const demo_results& results) -> std::string
{
    return first_token_lines(results) + slowdown_lines(results) + service_lines(results) +
           completion_lines(results) + failure_lines(results) + memory_lines(results) + summary_line(results);
}

} // namespace dragonflymill::standins
