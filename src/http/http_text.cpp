#include "http/http_text.h"

#include "http/error_body.h"

#include <array>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace dragonflymill::http {

namespace {

auto status_line(unsigned status) -> std::string
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

auto field_lines(const std::vector<header_field>& fields, bool keep_alive) -> std::string
{
    std::string lines;
    for (const auto& f : fields) {
        lines += f.name + ": " + f.value + "\r\n";
    }
    lines += keep_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    return lines;
}

} // namespace

auto response_text(const http_response& response, bool keep_alive) -> std::string
{
    std::string text = status_line(response.status);
    text += "Content-Type: " + response.content_type + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += field_lines(response.fields, keep_alive);
    text += "\r\n";
    text += response.body;
    return text;
}

auto event_stream_header(const std::vector<header_field>& fields, bool keep_alive) -> std::string
{
    std::string text = status_line(200);
    text += "Content-Type: text/event-stream\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n";
    text += field_lines(fields, keep_alive);
    text += "\r\n";
    return text;
}

auto chunk_text(std::string_view payload) -> std::string
{
    std::array<char, 16> size{};
    const auto* end = std::to_chars(size.data(), size.data() + size.size(), payload.size(), 16).ptr;
    std::string text(static_cast<const char*>(size.data()), end);
    text.append("\r\n").append(payload).append("\r\n");
    return text;
}

auto last_chunk_text() -> std::string
{
    return "0\r\n\r\n";
}

auto error_response(unsigned status, const std::string& code, const std::string& remedy) -> http_response
{
    return http_response{status,
                         "application/json",
                         {},
                         boost::json::serialize(error_body(code, ran_state::no, 0s, remedy)) + "\n"};
}

auto unreadable_response(boost::system::error_code failure, const http_limits& limits) -> http_response
{
    namespace beast = boost::beast;
    if (failure == beast::error::timeout) {
        return error_response(408, "request_timeout", "send the whole request without long pauses");
    }
    if (failure == beast::http::error::body_limit) {
        return error_response(413, "body_too_large",
                              "send at most " + std::to_string(limits.max_body_bytes) + " bytes of body");
    }
    if (failure == beast::http::error::header_limit) {
        return error_response(431, "header_too_large",
                              "send at most " + std::to_string(limits.max_header_bytes) + " bytes of header");
    }
    return error_response(400, "malformed_request",
                          "send a well-formed HTTP/1.1 request: " + failure.message());
}

} // namespace dragonflymill::http
