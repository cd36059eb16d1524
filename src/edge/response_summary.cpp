#include "edge/response_summary.h"

#include "dragonflymill/core/units.h"

#include <algorithm>
#include <functional>

namespace dragonflymill::edge {

namespace {

/// Bodies may hold confidential data; this many bytes are enough to recognise a fault.
constexpr std::size_t max_logged_bytes = 32;

auto framing_of(const response_head& head) -> response::body_framing
{
    using response::body_framing;
    const bool chunked = to_lower(head.value_of("transfer-encoding")).find("chunked") != std::string::npos;
    if (chunked) {
        return body_framing::chunks;
    }
    return head.value_of("content-length").empty() ? body_framing::connection : body_framing::length;
}

} // namespace

auto response_expectation_of(const caller_request& request, const header_names& names,
                             const direct::route_rule& route) -> response::response_expectation
{
    response::response_expectation expected;
    expected.request_id = std::string(request.value_of(names.request_id));
    expected.id_field = names.request_id;
    expected.is_streaming = route.kind == direct::call_kind::streaming && request.method != "HEAD";
    expected.resume_after = std::string(request.value_of(names.resume_after));
    expected.events = names.events;
    return expected;
}

auto summarize(const response_head& head, const header_names& names) -> response::response_summary
{
    return {head.status, to_lower(head.value_of("content-type")).starts_with("text/event-stream"),
            framing_of(head), names.seal.empty() || !head.value_of(names.seal).empty(),
            head.value_of(names.request_id)};
}

auto loggable(std::string_view bytes) -> std::string
{
    std::string text(bytes.substr(0, max_logged_bytes));
    const auto is_printable = [](char c) { return c >= ' ' && c <= '~'; };
    std::replace_if(text.begin(), text.end(), std::not_fn(is_printable), '.');
    return text;
}

} // namespace dragonflymill::edge
