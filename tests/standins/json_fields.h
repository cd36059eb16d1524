#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::standins {

/// The JSON object in `text`; nothing if it isn't one.
[[nodiscard]] auto parse_object(std::string_view text) -> std::optional<boost::json::object>;
/// A string member, empty if absent.
[[nodiscard]] auto text_field(const boost::json::object& object, std::string_view name) -> std::string;
/// A whole-number member, `fallback` if absent.
[[nodiscard]] auto number_field(const boost::json::object& object, std::string_view name,
                                std::int64_t fallback = 0) -> std::int64_t;
/// A boolean member, false if absent.
[[nodiscard]] auto flag_field(const boost::json::object& object, std::string_view name) -> bool;
/// The body of an error answer.
[[nodiscard]] auto error_body(std::string_view message) -> std::string;

} // namespace dragonflymill::standins
