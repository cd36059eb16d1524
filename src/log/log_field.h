#pragma once

#include "dragonflymill/core/strong_id.h"
#include "dragonflymill/core/time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace dragonflymill {

/// A value that a log event carries.
using log_value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/// A named value of a log event; made by `field`.
struct log_field
{
    const char* name; ///< Name; a literal, in snake_case, a duration's with its unit `_us`.
    log_value value;  ///< Value.

    friend auto operator==(const log_field&, const log_field&) -> bool = default;
};

/// A field with text.
[[nodiscard]] inline auto field(const char* name, std::string_view text) -> log_field
{
    return {name, std::string(text)};
}

/// A field with text.
[[nodiscard]] inline auto field(const char* name, const char* text) -> log_field
{
    return {name, std::string(text)};
}

/// A field with a typed name.
template <typename Tag>
[[nodiscard]] auto field(const char* name, const name_id<Tag>& id) -> log_field
{
    return {name, id.text()};
}

/// A field with a typed number.
template <typename Tag>
[[nodiscard]] auto field(const char* name, number_id<Tag> id) -> log_field
{
    return {name, std::uint64_t{id.value()}};
}

/// A field with a duration, in microseconds.
[[nodiscard]] inline auto field(const char* name, duration value) -> log_field
{
    return {name, std::int64_t{value.count()}};
}

/// A field with a truth value.
template <std::same_as<bool> Bool>
[[nodiscard]] auto field(const char* name, Bool value) -> log_field
{
    return {name, value};
}

/// A field with a whole number.
template <std::integral Number>
requires(!std::same_as<Number, bool>) [[nodiscard]] auto field(const char* name, Number value) -> log_field
{
    if constexpr (std::signed_integral<Number>) {
        return {name, static_cast<std::int64_t>(value)};
    }
    else {
        return {name, static_cast<std::uint64_t>(value)};
    }
}

/// A field with a real number.
template <std::floating_point Number>
[[nodiscard]] auto field(const char* name, Number value) -> log_field
{
    return {name, static_cast<double>(value)};
}

} // namespace dragonflymill
