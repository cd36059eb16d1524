#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// Parses a duration such as `250us`, `58ms`, `30s`, `10m`, `2h` or `90d`; the unit is required.
[[nodiscard]] auto parse_duration(std::string_view text) -> result<duration>;

/// Parses a token count such as `4096`, `64k` or `1m`; k is 1,000 and m is 1,000,000.
[[nodiscard]] auto parse_tokens(std::string_view text) -> result<std::int64_t>;

/// Parses a size in bytes such as `512`, `64KiB` (or `64k`), `8MiB` (`8m`) or `1GiB` (`1g`).
[[nodiscard]] auto parse_bytes(std::string_view text) -> result<std::int64_t>;

/// Parses a rate such as `0.5/s`, `200/s`, `50k/s` or `30/m`; returns the rate per second.
[[nodiscard]] auto parse_rate(std::string_view text) -> result<double>;

/// Parses an integer of at most 18 digits without sign or unit.
[[nodiscard]] auto parse_count(std::string_view text) -> result<std::int64_t>;

/// Parses `yes`, `true`, `no` or `false`.
[[nodiscard]] auto parse_yes_no(std::string_view text) -> result<bool>;

/// Parses a UTC timestamp of the form `2027-12-31T23:59:59Z`.
[[nodiscard]] auto parse_wall_instant(std::string_view text) -> result<wall_instant>;

/// Formats a timestamp in the form that `parse_wall_instant` accepts, in whole seconds.
[[nodiscard]] auto to_text(wall_instant moment) -> std::string;

/// Formats a duration with the largest unit that yields an integer, in the form that `parse_duration`
/// accepts.
[[nodiscard]] auto to_text(duration value) -> std::string;

/// Converts ASCII letters to lower case.
[[nodiscard]] auto to_lower(std::string_view text) -> std::string;

/// Removes spaces, tabs and line breaks at both ends.
[[nodiscard]] auto trim(std::string_view text) -> std::string_view;

} // namespace dragonflymill
