#include "edge/caller_request.h"

#include "dragonflymill/core/units.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace dragonflymill::edge {

namespace {

using boost::beast::iequals;

auto list_contains(std::string_view list, std::string_view word) -> bool
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (iequals(trim(list.substr(0, comma)), word)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

} // namespace

auto caller_request::value_of(std::string_view name) const -> std::string_view
{
    return http::first_value(fields, name);
}

auto caller_request::count_of(std::string_view name) const -> int
{
    return static_cast<int>(std::count_if(
        fields.begin(), fields.end(), [&](const header_field& field) { return iequals(field.name, name); }));
}

auto caller_request::path() const -> std::string_view
{
    return std::string_view(target).substr(0, target.find('?'));
}

auto is_hop_by_hop(std::string_view name, std::string_view connection) -> bool
{
    constexpr auto names = std::to_array<std::string_view>(
        {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
         "trailer", "transfer-encoding", "upgrade", "content-length", "expect"});
    const bool known =
        std::any_of(names.begin(), names.end(), [&](std::string_view other) { return iequals(name, other); });
    return known || list_contains(connection, name);
}

auto has_unambiguous_framing(const caller_request& request) -> bool
{
    const int lengths = request.count_of("content-length");
    const int encodings = request.count_of("transfer-encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return false;
    }
    const bool chunked = iequals(request.value_of("transfer-encoding"), "chunked");
    return (encodings == 0 || (chunked && !request.is_http_1_0)) && request.count_of("host") == 1;
}

} // namespace dragonflymill::edge
