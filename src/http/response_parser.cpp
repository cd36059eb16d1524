#include "http/response_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace dragonflymill::http {

namespace beast_http = boost::beast::http;

namespace {

constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int switching_protocols = 101;

/// Whether a response may have this status (RFC 9110, section 15). Requests ask for no other protocol, so
/// that none may switch to one.
auto is_valid_status(int code) -> bool
{
    return code >= first_status && code <= last_status && code != switching_protocols;
}

/// Whether one of the lines of a head continues the one before it; `bytes` begins with a line of the head or
/// with the empty line behind it. RFC 9112, section 5.2 lets a proxy reject such a head. A field whose name
/// has got a blank as its first byte looks the same, and may be the one that frames the body.
auto has_folded_line(std::string_view bytes) -> bool
{
    if (bytes.starts_with("\r\n")) {
        return false;
    }
    const std::string_view lines = bytes.substr(0, bytes.find("\r\n\r\n"));
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

/// Whether a body can't be decoded; Beast reads one up to the end of its connection.
auto has_unknown_transfer_coding(const response_head& head) -> bool
{
    return std::any_of(head.fields.begin(), head.fields.end(), [](const header_field& field) {
        return boost::beast::iequals(field.name, "transfer-encoding") &&
               !boost::beast::iequals(field.value, "chunked");
    });
}

} // namespace

auto response_head::value_of(std::string_view name) const -> std::string_view
{
    return first_value(fields, name);
}

response_parser::response_parser(bool no_body, const response_limits& limits)
    : no_body_(no_body)
    , limits_(limits)
{
    begin();
}

void response_parser::begin()
{
    state_ = response_state::head;
    parser_.emplace();
    parser_->eager(true);
    parser_->skip(no_body_);
    parser_->header_limit(limits_.head_bytes);
    parser_->body_limit(limits_.body_bytes ? boost::optional<std::uint64_t>(*limits_.body_bytes)
                                           : boost::none);
}

auto response_parser::take(std::string_view bytes, std::string& body) -> response_state
{
    if (state_ == response_state::invalid) {
        return state_;
    }
    rest_.append(bytes);
    std::size_t used = parse(rest_, body);
    while (state_ == response_state::complete && is_interim()) {
        interim_bytes_ += used;
        rest_.erase(0, used);
        begin();
        used = parse(rest_, body);
    }
    rest_.erase(0, used);
    const bool is_partial = state_ == response_state::head || state_ == response_state::body;
    if (is_partial && std::max(interim_bytes_, rest_.size()) > limits_.head_bytes) {
        state_ = response_state::invalid;
    }
    return state_;
}

auto response_parser::parse(std::string_view bytes, std::string& body) -> std::size_t
{
    parser_->body = &body;
    const bool begins_in_head = !parser_->is_header_done();
    std::size_t used = 0;
    while (used < bytes.size() && !parser_->is_done()) {
        boost::beast::error_code failed;
        const std::size_t taken =
            parser_->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), failed);
        used += taken;
        if (failed && failed != beast_http::error::need_more) {
            state_ = response_state::invalid;
            return used;
        }
        if (failed == beast_http::error::need_more || taken == 0) {
            break;
        }
    }
    // A line is taken together with those that continue it.
    const bool is_folded = begins_in_head && has_folded_line(bytes.substr(0, used));
    if (is_folded || (parser_->is_header_done() && has_unknown_transfer_coding(head()))) {
        state_ = response_state::invalid;
    }
    else if (parser_->is_done()) {
        state_ = response_state::complete;
    }
    else if (parser_->is_header_done()) {
        state_ = response_state::body;
        is_close_delimited_ = parser_->need_eof();
    }
    return used;
}

auto response_parser::take_eof() -> response_state
{
    if (state_ == response_state::complete) {
        return state_;
    }
    boost::beast::error_code failed;
    if (state_ == response_state::body && is_close_delimited_) {
        parser_->put_eof(failed);
        state_ = failed ? response_state::invalid : response_state::complete;
        return state_;
    }
    state_ = response_state::invalid;
    return state_;
}

response_parser::parser::parser() = default;

void response_parser::parser::on_response_impl(int code, string_view reason, int /*version*/,
                                               error_code& failed)
{
    failed =
        is_valid_status(code) ? error_code() : beast_http::make_error_code(beast_http::error::bad_status);
    head.status = static_cast<unsigned>(code);
    head.reason.assign(reason.data(), reason.size());
}

void response_parser::parser::on_field_impl(field_name /*known*/, string_view name, string_view value,
                                            error_code& failed)
{
    failed = {};
    if (header_complete_) {
        return; // a trailer, which says nothing about the response and may come too late to be checked
    }
    head.fields.push_back({std::string(name.data(), name.size()), std::string(value.data(), value.size())});
}

void response_parser::parser::on_header_impl(error_code& failed)
{
    failed = {};
    header_complete_ = true;
}

void response_parser::parser::on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                                                error_code& failed)
{
    failed = {};
}

auto response_parser::parser::on_body_impl(string_view bytes, error_code& failed) -> std::size_t
{
    failed = {};
    body->append(bytes.data(), bytes.size());
    return bytes.size();
}

void response_parser::parser::on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                                                   error_code& failed)
{
    failed = {};
}

auto response_parser::parser::on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                                 error_code& failed) -> std::size_t
{
    failed = {};
    body->append(bytes.data(), bytes.size());
    return bytes.size();
}

void response_parser::parser::on_finish_impl(error_code& failed)
{
    failed = {};
}

} // namespace dragonflymill::http
