#include "http/http_request.h"

#include <boost/beast/core/string.hpp>

namespace dragonflymill::http {

auto first_value(const std::vector<header_field>& fields, std::string_view name) -> std::string_view
{
    for (const header_field& field : fields) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

auto http_request::field(const std::string& name) const -> std::string
{
    return std::string(first_value(fields, name));
}

auto http_request::path() const -> std::string
{
    return target.substr(0, target.find('?'));
}

auto http_request::bearer_token() const -> std::string
{
    constexpr std::string_view scheme = "bearer ";
    const auto value = field("Authorization");
    if (value.size() <= scheme.size() || !boost::beast::iequals(value.substr(0, scheme.size()), scheme)) {
        return {};
    }
    return value.substr(scheme.size());
}

} // namespace dragonflymill::http
