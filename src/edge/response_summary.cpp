#include "edge/response_summary.h"

#include "dragonflymill/core/units.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <functional>

namespace dragonflymill::edge {

namespace {

/// Bodies may hold confidential data; this many bytes are enough to recognise a fault.
constexpr std::size_t max_logged_bytes = 32;

/// Value of a field that the response has once, or several times with the same value; otherwise empty.
auto unambiguous_value(const http::response_head& head, std::string_view name) -> std::string_view
{
    const std::string_view first = head.value_of(name);
    const bool agree = std::all_of(head.fields.begin(), head.fields.end(), [&](const header_field& field) {
        return field.value == first || !boost::beast::iequals(field.name, name);
    });
    return agree ? first : std::string_view();
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(blanks), text.size());
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

/// Whether a value of Content-Encoding or Accept-Encoding names any coding but the one that changes nothing.
auto names_coding(std::string_view value) -> bool
{
    const std::string_view coding = trimmed(value);
    return !coding.empty() && !boost::beast::iequals(coding, "identity");
}

auto is_event_stream(const http::response_head& head) -> bool
{
    const std::string_view type = unambiguous_value(head, "content-type");
    return boost::beast::iequals(trimmed(type.substr(0, type.find(';'))), "text/event-stream");
}

auto is_encoded(const http::response_head& head) -> bool
{
    return std::any_of(head.fields.begin(), head.fields.end(), [](const header_field& field) {
        return boost::beast::iequals(field.name, "content-encoding") && names_coding(field.value);
    });
}

auto framing_of(const http::response_head& head) -> response::body_framing
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
    expected.accepts_encoding = names_coding(request.value_of("accept-encoding"));
    expected.is_streaming = route.kind == direct::call_kind::streaming && request.method != "HEAD";
    expected.resume_after = std::string(request.value_of(names.resume_after));
    expected.events = names.events;
    return expected;
}

auto summarize(const http::response_head& head, const header_names& names) -> response::response_summary
{
    response::response_summary summary;
    summary.status = head.status;
    summary.is_event_stream = is_event_stream(head);
    summary.framing = framing_of(head);
    // Without a name for it, the deployment's upstreams have no seal.
    summary.is_sealed = names.seal.empty() || !unambiguous_value(head, names.seal).empty();
    summary.is_encoded = is_encoded(head);
    summary.echoed_id = unambiguous_value(head, names.request_id);
    return summary;
}

auto loggable(std::string_view bytes) -> std::string
{
    std::string text(bytes.substr(0, max_logged_bytes));
    const auto is_printable = [](char c) { return c >= ' ' && c <= '~'; };
    std::replace_if(text.begin(), text.end(), std::not_fn(is_printable), '.');
    return text;
}

} // namespace dragonflymill::edge
