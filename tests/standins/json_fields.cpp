#include "standins/json_fields.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

auto member(const json::object& object, std::string_view name) -> const json::value*
{
    return object.if_contains(json::string_view(name.data(), name.size()));
}

} // namespace

auto parse_object(std::string_view text) -> std::optional<json::object>
{
    json::error_code code;
    auto value = json::parse(json::string_view(text.data(), text.size()), code);
    if (code || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

auto text_field(const json::object& object, std::string_view name) -> std::string
{
    const auto* value = member(object, name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

auto number_field(const json::object& object, std::string_view name, std::int64_t fallback) -> std::int64_t
{
    const auto* value = member(object, name);
    if (value == nullptr) {
        return fallback;
    }
    json::error_code code;
    const auto number = value->to_number<std::int64_t>(code);
    return code ? fallback : number;
}

auto flag_field(const json::object& object, std::string_view name) -> bool
{
    const auto* value = member(object, name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

auto error_body(std::string_view message) -> std::string
{
    const json::object detail{{"message", json::string_view(message.data(), message.size())}};
    return json::serialize(json::object{{"error", detail}});
}

} // namespace dragonflymill::standins
