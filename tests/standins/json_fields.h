#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::standins {

/// Parses `text`; nullopt if it isn't a JSON object.
[[nodiscard]] auto parse_object(std::string_view text) -> std::optional<boost::json::object>;
/// Value of a string member; empty if absent or of another type.
[[nodiscard]] auto text_field(const boost::json::object& object, std::string_view name) -> std::string;
/// Value of an integer member; `fallback` if absent or not convertible.
[[nodiscard]] auto number_field(const boost::json::object& object, std::string_view name,
                                std::int64_t fallback = 0) -> std::int64_t;
/// Value of a boolean member; false if absent or of another type.
[[nodiscard]] auto flag_field(const boost::json::object& object, std::string_view name) -> bool;
/// Body of an error response.
[[nodiscard]] auto error_body(std::string_view message) -> std::string;

} // namespace dragonflymill::standins
