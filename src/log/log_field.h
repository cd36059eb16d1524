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

/// Value of a log field.
using log_value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/// A named value of a log event; created by `field`.
struct log_field
{
    const char* name; ///< String literal in snake_case; durations have the suffix `_us`.
    log_value value;  ///< Value of the field.

    friend auto operator==(const log_field&, const log_field&) -> bool = default;
};

/// A text field.
[[nodiscard]] inline auto field(const char* name, std::string_view text) -> log_field
{
    return {name, std::string(text)};
}

/// A text field.
[[nodiscard]] inline auto field(const char* name, const char* text) -> log_field
{
    return {name, std::string(text)};
}

/// A field with the text of a string identifier.
template <typename Tag>
[[nodiscard]] auto field(const char* name, const name_id<Tag>& id) -> log_field
{
    return {name, id.text()};
}

/// A field with the value of an integer identifier.
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

/// A boolean field. The template prevents implicit conversions to bool, e.g. from pointers.
template <std::same_as<bool> Bool>
[[nodiscard]] auto field(const char* name, Bool value) -> log_field
{
    return {name, value};
}

/// An integer field.
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

/// A floating-point field.
template <std::floating_point Number>
[[nodiscard]] auto field(const char* name, Number value) -> log_field
{
    return {name, static_cast<double>(value)};
}

} // namespace dragonflymill
