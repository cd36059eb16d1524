#include "dragonflymill/core/units.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>
#include <optional>
#include <span>

namespace dragonflymill {

namespace {

struct unit
{
    std::string_view suffix;
    std::int64_t factor;
};

constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr std::int64_t seconds_per_day = 86'400;
constexpr std::int64_t max_count = 999'999'999'999'999'999;

// Longest suffix first, since `58ms` also ends with `s`. Ascending factors, which `to_text` relies on.
constexpr std::array<unit, 6> duration_units{{{"us", 1},
                                              {"ms", 1'000},
                                              {"s", microseconds_per_second},
                                              {"m", 60 * microseconds_per_second},
                                              {"h", 3'600 * microseconds_per_second},
                                              {"d", seconds_per_day* microseconds_per_second}}};
constexpr std::array<unit, 3> token_units{{{"k", 1'000}, {"m", 1'000'000}, {"", 1}}};
constexpr std::array<unit, 7> byte_units{{{"KiB", 1 << 10U},
                                          {"MiB", 1 << 20U},
                                          {"GiB", 1 << 30U},
                                          {"k", 1 << 10U},
                                          {"m", 1 << 20U},
                                          {"g", 1 << 30U},
                                          {"", 1}}};

auto is_blank(char c) -> bool
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

auto parse_digits(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end || text.front() == '-') {
        return std::nullopt;
    }
    return value <= max_count ? std::optional(value) : std::nullopt;
}

auto parse_with_unit(std::string_view text, std::span<const unit> units) -> std::optional<std::int64_t>
{
    const auto trimmed = trim(text);
    for (const auto& [suffix, factor] : units) {
        if (!trimmed.ends_with(suffix)) {
            continue;
        }
        const auto value = parse_digits(trimmed.substr(0, trimmed.size() - suffix.size()));
        if (value && *value <= std::numeric_limits<std::int64_t>::max() / factor) {
            return *value * factor;
        }
        if (value) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

auto parse_error(std::string_view what, std::string_view text, std::string_view remedy) -> error
{
    return {error_kind::invalid_input, "'" + std::string(text) + "' is not " + std::string(what),
            "write " + std::string(remedy)};
}

auto days_since_epoch(std::int64_t year, std::int64_t month, std::int64_t day) -> std::int64_t
{
    const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(year)),
                                           std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(day))};
    return std::chrono::sys_days(date).time_since_epoch().count();
}

struct civil_fields
{
    std::int64_t year = 0;
    std::int64_t month = 0;
    std::int64_t day = 0;
    std::int64_t hour = 0;
    std::int64_t minute = 0;
    std::int64_t second = 0;
};

auto parse_civil_fields(std::string_view text) -> std::optional<civil_fields>
{
    constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:ddZ";
    if (text.size() != pattern.size()) {
        return std::nullopt;
    }
    for (std::size_t at = 0; at < pattern.size(); ++at) {
        const bool digit = text[at] >= '0' && text[at] <= '9';
        if (pattern[at] == 'd' ? !digit : text[at] != pattern[at]) {
            return std::nullopt;
        }
    }
    const auto field = [text](std::size_t at, std::size_t size) {
        return parse_digits(text.substr(at, size)).value_or(0);
    };
    return civil_fields{field(0, 4), field(5, 2), field(8, 2), field(11, 2), field(14, 2), field(17, 2)};
}

auto is_valid_civil(const civil_fields& at) -> bool
{
    const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(at.year)),
                                           std::chrono::month(static_cast<unsigned>(at.month)),
                                           std::chrono::day(static_cast<unsigned>(at.day))};
    return date.ok() && at.hour < 24 && at.minute < 60 && at.second < 60;
}

} // namespace

auto to_lower(std::string_view text) -> std::string
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

auto trim(std::string_view text) -> std::string_view
{
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

auto parse_duration(std::string_view text) -> result<duration>
{
    const auto value = parse_with_unit(text, duration_units);
    if (!value) {
        return parse_error("a time", text, "a whole number and us, ms, s, m, h or d, such as 30s");
    }
    return duration(*value);
}

auto parse_tokens(std::string_view text) -> result<std::int64_t>
{
    const auto value = parse_with_unit(text, token_units);
    if (!value) {
        return parse_error("a count of tokens", text, "a whole number, with k or m if wanted, such as 64k");
    }
    return *value;
}

auto parse_bytes(std::string_view text) -> result<std::int64_t>
{
    const auto value = parse_with_unit(text, byte_units);
    if (!value) {
        return parse_error("a size", text, "a whole number, with k, m or g if wanted, such as 8m");
    }
    return *value;
}

auto parse_rate(std::string_view text) -> result<double>
{
    const auto failed =
        parse_error("a rate", text, "a number, k or m if wanted, and /s or /m, such as 200/s");
    auto rest = trim(text);
    double scale = 1;
    if (rest.ends_with("/m")) {
        scale = 1.0 / 60;
    }
    else if (!rest.ends_with("/s")) {
        return failed;
    }
    rest.remove_suffix(2);
    if (rest.ends_with('k') || rest.ends_with('m')) {
        scale *= rest.back() == 'k' ? 1e3 : 1e6;
        rest.remove_suffix(1);
    }
    double value = 0;
    const auto* end = rest.data() + rest.size();
    const auto parsed = std::from_chars(rest.data(), end, value, std::chars_format::fixed);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !std::isfinite(value) || std::signbit(value)) {
        return failed;
    }
    return value * scale;
}

auto parse_count(std::string_view text) -> result<std::int64_t>
{
    const auto value = parse_digits(trim(text));
    if (!value) {
        return parse_error("a whole number", text, "digits only, such as 16");
    }
    return *value;
}

auto parse_yes_no(std::string_view text) -> result<bool>
{
    const auto word = trim(text);
    if (word == "yes" || word == "true") {
        return true;
    }
    if (word == "no" || word == "false") {
        return false;
    }
    return parse_error("yes or no", text, "yes or no");
}

auto parse_wall_instant(std::string_view text) -> result<wall_instant>
{
    const auto fields = parse_civil_fields(trim(text));
    if (!fields || !is_valid_civil(*fields)) {
        return parse_error("a moment", text, "UTC as in 2027-12-31T23:59:59Z");
    }
    const auto days = days_since_epoch(fields->year, fields->month, fields->day);
    const auto seconds = days * seconds_per_day + fields->hour * 3'600 + fields->minute * 60 + fields->second;
    return wall_instant(duration(seconds * microseconds_per_second));
}

auto to_text(wall_instant moment) -> std::string
{
    const std::chrono::sys_seconds at(std::chrono::floor<std::chrono::seconds>(moment.time_since_epoch()));
    const auto day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(at - day);
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
                  static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()));
    return buffer.data();
}

auto to_text(duration value) -> std::string
{
    const unit* largest = duration_units.data();
    for (const auto& candidate : duration_units) {
        if (value.count() != 0 && value.count() % candidate.factor == 0) {
            largest = &candidate;
        }
    }
    return std::to_string(value.count() / largest->factor) + std::string(largest->suffix);
}

} // namespace dragonflymill
