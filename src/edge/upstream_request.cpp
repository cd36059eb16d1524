#include "edge/upstream_request.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

namespace dragonflymill::edge {

namespace {

/// Whether only the gateway may set a field. A caller that could send one would choose its own account,
/// upstream or deadline.
auto is_gateway_field(const header_names& names, std::string_view field) -> bool
{
    const std::array<const std::string*, 7> own{
        &names.time_left_ms,    &names.account,      &names.expected_upstream, &names.prefill_engines,
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
    const std::int64_t time_left_ms = std::max<std::int64_t>(own.time_left / 1ms, 1);
    add_field(text, names.time_left_ms, std::to_string(time_left_ms));
    add_field(text, names.expected_upstream, own.upstream);
    if (!own.account.empty()) {
        add_field(text, names.account, own.account);
    }
    if (!own.resume_after.empty()) {
        add_field(text, names.resume_after, own.resume_after);
    }
    if (!own.prefill_engines.empty()) {
        add_field(text, names.prefill_engines, own.prefill_engines);
    }
}

} // namespace

auto upstream_request(const caller_request& request, const header_names& names, const gateway_fields& own)
    -> encoded_request
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    const std::string_view connection = request.value_of("connection");
    for (const header_field& field : request.fields) {
        if (!is_hop_by_hop(field.name, connection) && !is_gateway_field(names, field.name)) {
            add_field(text, field.name, field.value);
        }
    }
    add_own_fields(text, names, own);
    const bool has_body = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (has_body) {
        add_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    text.append("\r\n");
    return {std::move(text), request.body};
}

} // namespace dragonflymill::edge
