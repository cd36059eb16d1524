#include "http/http_call.h"

#include "http/socket_state.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace dragonflymill::http {

using boost::system::error_code;

namespace {

/// Status codes below this one are interim responses.
constexpr unsigned first_final_status = 200;

/// Whether a body can't be passed on as received: calls ask for no coding.
auto is_coded(const boost::beast::http::fields& header) -> bool
{
    using boost::beast::iequals;
    using boost::beast::http::field;
    return std::any_of(header.begin(), header.end(), [](const auto& line) {
        const bool is_content = line.name() == field::content_encoding;
        const bool is_transfer = line.name() == field::transfer_encoding;
        return (is_content && !line.value().empty() && !iequals(line.value(), "identity")) ||
               (is_transfer && !iequals(line.value(), "chunked"));
    });
}

auto request_header(const http_request& request, const boost::asio::ip::tcp::endpoint& server) -> std::string
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    text += "Host: " + to_text(server) + "\r\n";
    for (const auto& f : request.fields) {
        text += f.name + ": " + f.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\nConnection: close\r\n\r\n";
    return text;
}

} // namespace

http_call::http_call(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                     call_limits limits)
    : stream_(context)
    , server_(std::move(server))
    , limits_(limits)
{
}

void http_call::start(http_request request, instant not_after, call_handlers handlers)
{
    handlers_ = std::move(handlers);
    head_ = request_header(request, server_);
    body_ = std::move(request.body);
    stream_.expires_after(limits_.connect_timeout);
    stream_.async_connect(server_, [self = shared_from_this(), not_after](error_code failure) {
        self->on_connected(failure, not_after);
    });
}

void http_call::drop()
{
    over_ = true;
    handlers_ = {};
    stream_.close();
}

void http_call::on_connected(error_code failure, instant not_after)
{
    if (over_) {
        return;
    }
    // Checked immediately before the first byte is sent: the process may have been paused since the decision
    // to call, and the call may have been reported as not run in the meantime.
    if (failure || runtime::now() >= not_after) {
        end(call_end::not_sent);
        return;
    }
    error_code ignored;
    // NOLINTNEXTLINE(bugprone-unused-return-value): best effort; failure only adds latency
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (limits_.total_timeout > duration::zero()) {
        ends_by_ = runtime::now() + limits_.total_timeout;
    }
    expire_after(limits_.first_byte_timeout);
    const std::array<boost::asio::const_buffer, 2> parts{boost::asio::buffer(head_),
                                                         boost::asio::buffer(body_)};
    boost::asio::async_write(stream_, parts,
                             [self = shared_from_this()](error_code write_failure, std::size_t /*bytes*/) {
                                 self->on_written(write_failure);
                             });
}

void http_call::on_written(error_code failure)
{
    if (over_) {
        return;
    }
    if (failure) {
        end(call_end::broken);
        return;
    }
    head_.clear();
    body_ = {};
    expire_after(limits_.first_byte_timeout);
    read_header();
}

void http_call::expire_after(duration timeout)
{
    const duration left = ends_by_ ? *ends_by_ - runtime::now() : timeout;
    stream_.expires_after(std::max(std::min(timeout, left), duration::zero()));
}

void http_call::read_header()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    boost::beast::http::async_read_header(
        stream_, buffer_, *parser_, [self = shared_from_this()](error_code read_failure, std::size_t /*n*/) {
            self->on_header(read_failure);
        });
}

void http_call::on_header(error_code failure)
{
    if (over_) {
        return;
    }
    if (failure) {
        end(call_end::broken);
        return;
    }
    const auto& header = parser_->get();
    if (header.result_int() < first_final_status) {
        ++interim_responses_ <= max_interim_responses ? read_header() : end(call_end::broken);
        return;
    }
    if (is_coded(header)) {
        end(call_end::broken);
        return;
    }
    handlers_.on_header(header.result_int(), std::string(header[boost::beast::http::field::content_type]));
    if (!over_) {
        read_piece();
    }
}

void http_call::read_piece()
{
    if (parser_->is_done()) {
        on_complete();
        return;
    }
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    expire_after(limits_.silence_timeout);
    boost::beast::http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) { self->on_piece(failure); });
}

void http_call::on_piece(error_code failure)
{
    if (over_) {
        return;
    }
    if (failure && failure != boost::beast::http::error::need_buffer) {
        end(call_end::broken);
        return;
    }
    const auto length = piece_.size() - parser_->get().body().size;
    if (length > 0) {
        body_received_ = true;
        handlers_.on_bytes(std::string_view(piece_.data(), length));
    }
    if (!over_) {
        read_piece();
    }
}

void http_call::on_complete()
{
    // Without a length or chunks, a server that crashes after the header, or while it still receives the
    // request, closes its connection like one that has sent all.
    const bool is_proven = !parser_->need_eof() || (body_received_ && is_all_acknowledged(stream_.socket()));
    end(is_proven ? call_end::whole : call_end::broken);
}

void http_call::end(call_end how)
{
    over_ = true;
    const auto handlers = std::exchange(handlers_, {});
    stream_.close();
    handlers.on_end(how);
}

} // namespace dragonflymill::http
