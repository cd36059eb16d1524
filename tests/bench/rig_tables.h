#pragma once

#include "rig_report.h"

#include <cmath>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace dragonflymill::rig {

/// Formats a number with the given number of decimals.
inline auto digits(double value, int count) -> std::string
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(count) << value;
    return text.str();
}

/// Formats three percentiles for a table cell.
inline auto text_of(const percentiles& of) -> std::string
{
    return of.count == 0 ? "-" : digits(of.p50, 2) + " / " + digits(of.p95, 2) + " / " + digits(of.p99, 2);
}

/// Formats the median, minimum and maximum of sorted values.
inline auto text_of_seeds(const std::vector<double>& sorted) -> std::string
{
    return digits(sorted[sorted.size() / 2], 2) + " (" + digits(sorted.front(), 2) + " to " +
           digits(sorted.back(), 2) + ")";
}

/// Whether the request was completed within its deadline.
inline auto was_in_limit(const outcome& each) -> bool
{
    return each.in_limit;
}

/// Whether the request was refused before anything was sent to an engine.
inline auto was_refused(const outcome& each) -> bool
{
    return each.refused;
}

/// Prints time to first token by prompt length in Markdown.
inline void write_first_tokens(std::ostream& out, const std::vector<cell>& cells)
{
    out << "First-token time in seconds, p50 / p95 / p99, of prompts that are not overnight work\n\n"
        << "| load % | policy |";
    for (const auto& bucket : buckets) {
        out << ' ' << bucket.name << " |";
    }
    out << "\n|--:|:--|"
        << "--:|--:|--:|--:|--:|--:|\n";
    for (const auto& each : cells) {
        out << "| " << each.load << " | " << each.policy << " |";
        for (std::size_t i = 0; i < buckets.size(); ++i) {
            out << ' ' << text_of(percentiles_of(values_of(each.seeds, first_token_in(i)))) << " |";
        }
        out << '\n';
    }
}

/// Prints slowdown of short requests, goodput and refusals in Markdown.
inline void write_service(std::ostream& out, const std::vector<cell>& cells)
{
    out << "\nShort requests are those of up to 4 k tokens. Slowdown A: p99 in the mix over p99 of the same "
           "requests with\n"
           "the longer ones left out, middle of the seeds (lowest to highest). Slowdown B: each request's "
           "time over that\n"
           "on an idle engine with nothing cached, p50 / p95 / p99. Goodput: whole answers within their "
           "limits.\n\n"
        << "| load % | policy | busy % | A first token | A whole answer | B first token | B whole answer | "
           "goodput % | "
           "refused % | goodput % of 64 k | of 256 k | of 1 M |\n"
        << "|--:|:--|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
    for (const auto& each : cells) {
        const double busy = std::accumulate(each.busy.begin(), each.busy.end(), 0.0);
        out << "| " << each.load << " | " << each.policy << " | "
            << digits(100.0 * busy / static_cast<double>(each.busy.size()), 0) << " | "
            << text_of_seeds(mix_over_alone(each, short_first_token)) << " | "
            << text_of_seeds(mix_over_alone(each, short_whole)) << " | "
            << text_of(percentiles_of(values_of(each.seeds, first_token_slowdown))) << " | "
            << text_of(percentiles_of(values_of(each.seeds, whole_slowdown))) << " | "
            << digits(percent(each, buckets.size(), was_in_limit), 1) << " | "
            << digits(percent(each, buckets.size(), was_refused), 1);
        for (std::size_t i = 3; i < buckets.size(); ++i) {
            out << " | " << digits(percent(each, i, was_in_limit), 0);
        }
        out << " |\n";
    }
}

/// Prints the effect of refusals and pauses on short requests and on small accounts in Markdown.
inline void write_overload(std::ostream& out, const std::vector<cell>& cells)
{
    const auto part = [](const cell& of, const auto& counted, const auto& what) {
        double all = 0.0;
        double those = 0.0;
        for (const auto& seed : of.seeds) {
            for (const auto& one : seed) {
                all += one.counts && counted(one) ? 1.0 : 0.0;
                those += one.counts && counted(one) && what(one) ? 1.0 : 0.0;
            }
        }
        return digits(100.0 * those / std::max(1.0, all), 1);
    };
    const auto any = [](const outcome&) { return true; };
    const auto is_short = [](const outcome& one) { return one.bucket < short_buckets; };
    const auto large = [](const outcome& one) { return one.large_account; };
    const auto small = [](const outcome& one) { return !one.large_account; };
    const auto in_limit = [](const outcome& one) { return one.in_limit; };
    const auto refused = [](const outcome& one) { return one.refused; };
    const auto paused = [](const outcome& one) { return one.paused; };
    out << "| load % | policy | in time % | refused % | late % | paused % | short ones refused % | first "
           "token of "
           "short ones, p99 s | large accounts in time % | small accounts in time % |\n"
        << "|--:|:--|--:|--:|--:|--:|--:|--:|--:|--:|\n";
    const auto late = [](const outcome& one) { return !one.in_limit && !one.refused; };
    for (const auto& each : cells) {
        const auto first = percentiles_of(values_of(each.seeds, short_first_token));
        out << "| " << each.load << " | " << each.policy << " | " << part(each, any, in_limit) << " | "
            << part(each, any, refused) << " | " << part(each, any, late) << " | " << part(each, any, paused)
            << " | " << part(each, is_short, refused) << " | " << digits(first.p99, 3) << " | "
            << part(each, large, in_limit) << " | " << part(each, small, in_limit) << " |\n";
    }
}

/// Prints the outcomes by priority in Markdown.
inline void write_priorities(std::ostream& out, const std::vector<cell>& cells)
{
    constexpr std::array<double, work_priority_count> worth{16.0, 4.0, 1.0};
    out << "\nWorth: an answer in time counts 16 if urgent, 4 if normal, 1 if overnight; part of all that "
           "was offered.\n\n"
        << "| load % | policy | urgent in time % | normal in time % | overnight in time % | of all in time % "
           "| worth % |\n"
        << "|--:|:--|--:|--:|--:|--:|--:|\n";
    for (const auto& each : cells) {
        std::array<double, work_priority_count> all{};
        std::array<double, work_priority_count> good{};
        for (const auto& seed : each.seeds) {
            for (const auto& one : seed) {
                all[index_of(one.priority)] += one.counts ? 1.0 : 0.0;
                good[index_of(one.priority)] += one.counts && one.in_limit ? 1.0 : 0.0;
            }
        }
        double offered = 0.0;
        double answered = 0.0;
        out << "| " << each.load << " | " << each.policy << " |";
        for (std::size_t i = 0; i < work_priority_count; ++i) {
            offered += worth[i] * all[i];
            answered += worth[i] * good[i];
            out << ' ' << digits(100.0 * good[i] / std::max(1.0, all[i]), 1) << " |";
        }
        out << ' ' << digits(percent(each, buckets.size(), was_in_limit), 1) << " | "
            << digits(100.0 * answered / offered, 1) << " |\n";
    }
}

/// Writes every figure as a line of CSV.
inline void write_csv(std::ostream& out, const std::vector<cell>& cells)
{
    out << "policy,load_percent,measure,bucket,seed,value\n";
    for (const auto& each : cells) {
        for (std::size_t seed = 0; seed < each.seeds.size(); ++seed) {
            const auto line = [&](const char* what, const char* bucket, double value) {
                out << each.policy << ',' << each.load << ',' << what << ',' << bucket << ',' << seed + 1
                    << ',' << digits(value, 4) << '\n';
            };
            const auto& outcomes = each.seeds[seed];
            for (std::size_t i = 0; i < buckets.size(); ++i) {
                const auto of = percentiles_of(values_of(outcomes, first_token_in(i)));
                line("first_token_p50_s", buckets[i].name, of.p50);
                line("first_token_p95_s", buckets[i].name, of.p95);
                line("first_token_p99_s", buckets[i].name, of.p99);
            }
            line("slowdown_first_token_p99", "short",
                 percentiles_of(values_of(outcomes, first_token_slowdown)).p99);
            line("slowdown_whole_p99", "short", percentiles_of(values_of(outcomes, whole_slowdown)).p99);
            line("busy", "all", each.busy[seed]);
        }
    }
}

/// Writes an SVG plot of the p99 first-token slowdown (A) of short requests over load, with a line per
/// policy.
inline void write_plot(std::ostream& out, const std::vector<cell>& cells)
{
    constexpr std::array<const char*, 6> colours{"#0b6", "#06c", "#c60", "#909", "#c22", "#555"};
    const auto x = [](int load) { return 80.0 + (load - 50) * 6.0; };
    const auto y = [](double value) { return 330.0 - std::log10(std::max(1.0, value)) * 140.0; };
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"400\" "
           "font-family=\"sans-serif\" "
           "font-size=\"12\"><rect width=\"760\" height=\"400\" fill=\"white\"/>\n"
        << "<text x=\"80\" y=\"20\">p99 first-token time of short requests: in the mix over without the long "
           "ones</text>\n";
    for (const double mark : {1.0, 1.3, 3.0, 10.0, 30.0, 100.0}) {
        out << "<line x1=\"80\" x2=\"500\" y1=\"" << y(mark) << "\" y2=\"" << y(mark)
            << "\" stroke=\"#ddd\"/><text x=\"40\" y=\"" << y(mark) + 4 << "\">" << digits(mark, 1)
            << "</text>\n";
    }
    for (const int load : {50, 80, 95, 120}) {
        out << "<text x=\"" << x(load) - 10 << "\" y=\"350\">" << load << " %</text>\n";
    }
    std::vector<std::string> policies;
    for (const auto& each : cells) {
        if (std::find(policies.begin(), policies.end(), each.policy) == policies.end()) {
            policies.push_back(each.policy);
        }
    }
    for (std::size_t i = 0; i < policies.size(); ++i) {
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colours[i % colours.size()]
            << "\" points=\"";
        for (const auto& each : cells) {
            if (each.policy == policies[i]) {
                const auto ratios = mix_over_alone(each, short_first_token);
                out << x(each.load) << ',' << y(ratios[ratios.size() / 2]) << ' ';
            }
        }
        out << "\"/><text x=\"520\" y=\"" << 60 + 20 * i << "\" fill=\"" << colours[i % colours.size()]
            << "\">" << policies[i] << "</text>\n";
    }
    out << "</svg>\n";
}

} // namespace dragonflymill::rig
