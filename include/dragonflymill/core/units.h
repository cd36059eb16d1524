#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// Reads a time such as `250us`, `58ms`, `30s`, `10m`, `2h` or `90d`; the unit must be named.
[[nodiscard]] auto parse_duration(std::string_view text) -> result<duration>;

/// Reads a count of tokens such as `4096`, `64k` or `1m`; k is a thousand, m a million.
[[nodiscard]] auto parse_tokens(std::string_view text) -> result<std::int64_t>;

/// Reads a size such as `512`, `64KiB` (or `64k`), `8MiB` (`8m`) or `1GiB` (`1g`) bytes.
[[nodiscard]] auto parse_bytes(std::string_view text) -> result<std::int64_t>;

/// Reads a rate such as `0.5/s`, `200/s`, `50k/s` or `30/m`; the answer is per second.
[[nodiscard]] auto parse_rate(std::string_view text) -> result<double>;

/// Reads a whole number of at most 18 digits without sign or unit.
[[nodiscard]] auto parse_count(std::string_view text) -> result<std::int64_t>;

/// Reads `yes`, `true`, `no` or `false`.
[[nodiscard]] auto parse_yes_no(std::string_view text) -> result<bool>;

/// Reads a moment of civil time written `2027-12-31T23:59:59Z`, always UTC.
[[nodiscard]] auto parse_wall_instant(std::string_view text) -> result<wall_instant>;

/// Writes a moment the way `parse_wall_instant` reads it, in whole seconds.
[[nodiscard]] auto to_text(wall_instant moment) -> std::string;

/// Writes a time with the largest unit that leaves a whole number, the way `parse_duration` reads it.
[[nodiscard]] auto to_text(duration value) -> std::string;

/// The text with its ASCII letters in lower case.
[[nodiscard]] auto to_lower(std::string_view text) -> std::string;

/// The text without blanks at both ends.
[[nodiscard]] auto trim(std::string_view text) -> std::string_view;

} // namespace dragonflymill
