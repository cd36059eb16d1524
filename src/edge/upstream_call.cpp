#include "edge/upstream_call.h"

#include "edge/socket_options.h"
#include "http/socket_state.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using direct::attempt_end;

upstream_call::upstream_call(asio::io_context& loop, loop_timers& timers, response_handler& receiver)
    : socket_(loop)
    , timers_(timers)
    , receiver_(&receiver)
    , out_(socket_)
{
}

void upstream_call::start(const std::string& address, encoded_request request, bool no_body)
{
    request_ = std::move(request);
    parser_.emplace(no_body);
    const auto endpoint = parse_tcp_endpoint(address);
    if (!endpoint) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->fail(attempt_end::not_sent, "the upstream's address can't be read");
        });
        return;
    }
    connect_timer_ = timers_.at(runtime::now() + connect_timeout, [self = shared_from_this()] {
        self->connect_timer_.reset();
        self->fail(attempt_end::not_sent, "no connection within its limit");
    });
    socket_.async_connect(endpoint.value(),
                          [self = shared_from_this()](const boost::system::error_code& refused) {
                              self->on_connected(refused);
                          });
}

void upstream_call::on_connected(const boost::system::error_code& failed)
{
    if (connect_timer_) {
        timers_.cancel(*connect_timer_);
        connect_timer_.reset();
    }
    if (receiver_ == nullptr) {
        return;
    }
    if (failed) {
        fail(attempt_end::not_sent, "no connection: " + failed.message());
        return;
    }
    if (!receiver_->on_connected()) {
        return;
    }
    set_socket_options(socket_);
    out_.on_done([this](bool broken) {
        if (broken || !send_body()) {
            request_.body = {};
        }
    });
    const std::string head = std::exchange(request_.head, {});
    if (!out_.send(head, shared_from_this()) || !send_body()) {
        request_.body = {};
        if (!out_.any_sent()) {
            fail(attempt_end::not_sent, "the request could not be sent: " + out_.write_error().message());
            return;
        }
    }
    // Also after a failed write: the upstream may have sent a complete response before it closed.
    read();
}

auto upstream_call::send_body() -> bool
{
    while (!request_.body.empty() && out_.unsent_bytes() == 0) {
        const std::string_view slice = request_.body.substr(0, slice_bytes);
        request_.body.remove_prefix(slice.size());
        if (!out_.send(slice, shared_from_this())) {
            return false;
        }
    }
    return true;
}

auto upstream_call::request_delivered() -> bool
{
    const bool all_written = request_.body.empty() && out_.unsent_bytes() == 0;
    return all_written && !out_.write_error() && http::is_all_acknowledged(socket_);
}

void upstream_call::read()
{
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const boost::system::error_code& failed,
                                                        std::size_t bytes) { self->on_read(failed, bytes); });
}

void upstream_call::on_read(const boost::system::error_code& failed, std::size_t bytes)
{
    if (receiver_ == nullptr) {
        return;
    }
    if (bytes > 0) {
        consume({buffer_.data(), bytes});
    }
    if (receiver_ == nullptr) {
        return;
    }
    if (failed) {
        on_read_error(failed);
        return;
    }
    read();
}

void upstream_call::consume(std::string_view bytes)
{
    const auto self = shared_from_this();
    std::string body;
    const auto state = parser_->take(bytes, body);
    if (state == http::response_state::invalid) {
        fail(attempt_end::invalid, "the answer isn't one in the protocol");
        return;
    }
    if (state == http::response_state::head) {
        return;
    }
    if (!head_passed_) {
        head_passed_ = true;
        if (!receiver_->on_response_head(parser_->head())) {
            return;
        }
    }
    body_received_ = body_received_ || !body.empty();
    if (receiver_ != nullptr && !body.empty()) {
        receiver_->on_response_body(body);
    }
    if (receiver_ != nullptr && state == http::response_state::complete) {
        response_handler* receiver = std::exchange(receiver_, nullptr);
        close();
        receiver->on_response_complete();
    }
}

void upstream_call::on_read_error(const boost::system::error_code& failed)
{
    // After a failed write, a read gets an end of file even if the connection was reset.
    const boost::system::error_code cause = out_.write_error() ? out_.write_error() : failed;
    const bool orderly_close = cause == asio::error::eof;
    const bool delivered = request_delivered();
    const bool is_complete =
        orderly_close && delivered && head_passed_ && parser_->take_eof() == http::response_state::complete;
    // An upstream that crashes after the head closes its connection like one that has sent all.
    if (is_complete && body_received_) {
        response_handler* receiver = std::exchange(receiver_, nullptr);
        close();
        receiver->on_response_complete();
        return;
    }
    const bool closed =
        orderly_close || cause == asio::error::connection_reset || cause == asio::error::broken_pipe;
    fail(closed ? attempt_end::disconnected : attempt_end::broken,
         std::string("the connection ended before the ") +
             (delivered ? "answer: " : "request was delivered: ") + cause.message());
}

void upstream_call::fail(attempt_end end, const std::string& why)
{
    response_handler* receiver = std::exchange(receiver_, nullptr);
    close();
    if (receiver != nullptr) {
        receiver->on_response_failed(end, why);
    }
}

void upstream_call::cancel()
{
    receiver_ = nullptr;
    close();
}

void upstream_call::close()
{
    request_.body = {};
    if (connect_timer_) {
        timers_.cancel(*connect_timer_);
        connect_timer_.reset();
    }
    boost::system::error_code ignored; // the descriptor is released either way
    socket_.close(ignored);
}

} // namespace dragonflymill::edge
