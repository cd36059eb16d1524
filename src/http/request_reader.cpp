#include "http/request_reader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <utility>

namespace dragonflymill::http {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Memory of a part of a head: its text and its fields, of which each line has one at most.
auto head_memory(std::string_view text) -> std::size_t
{
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    return text.size() + lines * request_reader::field_bytes;
}

} // namespace

void request_reader::begin(limits bounds)
{
    limits_ = bounds;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
    parser_->body_limit(limits_.body_bytes);
    failure_ = {};
}

auto request_reader::receive(std::string_view bytes) -> request_state
{
    account_.received(bytes.size());
    if (input_lost_) {
        // What arrives behind a gap must not be joined to what was kept before it.
        return receive_ahead(bytes) ? parse() : request_state::input_lost;
    }
    if (!input_.empty()) {
        return keep_input(bytes) ? parse() : request_state::no_memory;
    }
    std::size_t used = 0;
    const request_state state = parse_from(bytes, used);
    const std::string_view rest = bytes.substr(used);
    if (state == request_state::complete) {
        (void)receive_ahead(rest);
    }
    else if (state == request_state::incomplete && !rest.empty() && !keep_input(rest)) {
        return request_state::no_memory;
    }
    return state;
}

auto request_reader::parse() -> request_state
{
    std::size_t used = 0;
    const request_state state = parse_from(input_, used);
    input_.erase(0, used);
    if (input_.empty()) {
        drop_input();
    }
    return state == request_state::incomplete && input_lost_ ? request_state::input_lost : state;
}

auto request_reader::parse_from(std::string_view bytes, std::size_t& used) -> request_state
{
    while (!parser_->is_done()) {
        const std::string_view rest = bytes.substr(used);
        if (rest.empty()) {
            return request_state::incomplete;
        }
        // The body begins in a call of its own, after its memory has been claimed.
        const bool in_body = parser_->is_header_done();
        parser_->eager(in_body);
        if (!(in_body ? claim_body(rest.size()) : claim_head(rest))) {
            return request_state::no_memory;
        }
        error_code failed;
        const std::size_t parsed = parser_->put(boost::asio::const_buffer(rest.data(), rest.size()), failed);
        used += parsed;
        if (!in_body) {
            head_needed_ += head_memory(rest.substr(0, parsed));
        }
        if (failed == beast_http::error::need_more || (!failed && parsed == 0)) {
            // A chunk's line or the trailers; the parser bounds the head itself.
            const bool too_long = parser_->is_header_done() && bytes.size() - used > limits_.head_bytes;
            return too_long ? request_state::head_too_large : request_state::incomplete;
        }
        if (failed) {
            return state_after(failed);
        }
    }
    return request_state::complete;
}

auto request_reader::state_after(error_code failed) -> request_state
{
    failure_ = failed;
    if (failed == beast_http::error::header_limit) {
        return request_state::head_too_large;
    }
    return failed == beast_http::error::body_limit ? request_state::body_too_large : request_state::malformed;
}

auto request_reader::claim_head(std::string_view bytes) -> bool
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const std::size_t end = bytes.find(end_of_head);
    const std::string_view head =
        bytes.substr(0, end == std::string_view::npos ? end : end + end_of_head.size());
    const std::size_t needed = head_needed_ + head_memory(head);
    if (needed <= head_claimed_) {
        return true;
    }
    if (!account_.claim(needed - head_claimed_)) {
        return false;
    }
    head_claimed_ = needed;
    return true;
}

auto request_reader::claim_body(std::size_t bytes) -> bool
{
    std::string& body = parser_->get().body();
    const auto announced = parser_->content_length();
    const std::size_t most = announced ? static_cast<std::size_t>(*announced) : limits_.body_bytes;
    const std::size_t size = std::min(body.size() + bytes, std::max(most, body.size()));
    return grow(body, size, most, body_claimed_);
}

auto request_reader::grow(std::string& text, std::size_t size, std::size_t most, std::size_t& claimed) -> bool
{
    if (size <= text.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(size, std::min(text.capacity() * 2, most));
    if (!account_.claim(capacity)) {
        return false;
    }
    // A new string gets just this capacity; one that grows may get more.
    std::string grown;
    grown.reserve(capacity);
    grown.append(text);
    text.swap(grown);
    account_.release(std::exchange(claimed, capacity));
    return true;
}

auto request_reader::keep_input(std::string_view bytes) -> bool
{
    if (!grow(input_, input_.size() + bytes.size(), limits_.head_bytes, input_claimed_)) {
        return false;
    }
    input_.append(bytes);
    return true;
}

void request_reader::drop_input()
{
    std::string().swap(input_);
    account_.release(std::exchange(input_claimed_, 0));
}

auto request_reader::receive_ahead(std::string_view bytes) -> bool
{
    const std::size_t room = max_ahead_bytes - std::min(input_.size(), max_ahead_bytes);
    const std::string_view kept = input_lost_ ? std::string_view() : bytes.substr(0, room);
    if (!kept.empty() && keep_input(kept)) {
        bytes.remove_prefix(kept.size());
    }
    input_lost_ = input_lost_ || !bytes.empty();
    discarded_ += bytes.size();
    return discarded_ <= limits_.head_bytes + limits_.body_bytes;
}

auto request_reader::take() -> read_request
{
    auto message = parser_->release();
    read_request out;
    out.keep_alive = message.keep_alive();
    out.is_http_1_0 = message.version() < 11;
    out.request.method = std::string(message.method_string());
    out.request.target = std::string(message.target());
    for (const auto& field : message) {
        out.request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    out.request.body = std::move(message.body());
    out.held = std::exchange(head_claimed_, 0) + std::exchange(body_claimed_, 0);
    head_needed_ = 0;
    parser_.reset();
    return out;
}

void request_reader::discard()
{
    parser_.reset();
    drop_input();
    account_.release(std::exchange(head_claimed_, 0) + std::exchange(body_claimed_, 0));
    head_needed_ = 0;
}

auto request_reader::field(std::string_view name) const -> std::string_view
{
    if (!is_head_done()) {
        return {};
    }
    const auto value = parser_->get()[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

} // namespace dragonflymill::http
