#include "edge/upstream_request.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdint>
#include <string_view>

namespace dragonflymill::edge {

namespace {

/// Whether a field is the gateway's to set. A caller that could send one would choose its account, its
/// upstream or how long it is worked for.
auto belongs_to_gateway(const header_names& names, std::string_view field) -> bool
{
    const std::array<const std::string*, 7> own{
        &names.time_left_ms,    &names.account,      &names.expected_upstream, &names.helpers,
        &names.engine_priority, &names.resume_after, &names.account_key};
    return std::any_of(own.begin(), own.end(),
                       [&](const std::string* name) { return boost::beast::iequals(field, *name); });
}

void add_field(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void add_own_fields(std::string& text, const header_names& names, const gateway_fields& own)
{
    const std::int64_t left = std::max<std::int64_t>(own.time_left / 1ms, 1);
    add_field(text, names.time_left_ms, std::to_string(left));
    add_field(text, names.expected_upstream, own.upstream);
    if (!own.account.empty()) {
        add_field(text, names.account, own.account);
    }
    if (!own.resume_after.empty()) {
        add_field(text, names.resume_after, own.resume_after);
    }
    if (!own.helpers.empty()) {
        add_field(text, names.helpers, own.helpers);
    }
}

} // namespace

auto upstream_request(const caller_request& request, const header_names& names, const gateway_fields& own)
    -> std::string
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    const std::string_view connection = request.value_of("connection");
    for (const header_field& field : request.fields) {
        if (!concerns_connection(field.name, connection) && !belongs_to_gateway(names, field.name)) {
            add_field(text, field.name, field.value);
        }
    }
    add_own_fields(text, names, own);
    const bool has_body = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (has_body) {
        add_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    text.append("\r\n").append(request.body);
    return text;
}

} // namespace dragonflymill::edge
