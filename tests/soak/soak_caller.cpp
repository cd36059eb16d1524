#include "soak/soak_caller.h"

#include <utility>

namespace dragonflymill::soak {

namespace {

auto expected_answer(const std::string& request, bool is_stream) -> std::string
{
    if (!is_stream) {
        return "booked " + request;
    }
    std::string all;
    for (int id = 1; id <= soak_upstream::events; ++id) {
        all += "id: " + std::to_string(id) + "\ndata: " + request + "\n\n";
    }
    return all;
}

} // namespace

soak_world::caller::caller(soak_world& world, soak_call call)
    : world_(world)
    , socket_(world.loop_)
    , call_(std::move(call))
{
}

void soak_world::caller::start(soak_gateway& gateway, std::uint16_t port)
{
    socket_.async_connect({boost::asio::ip::make_address(gateway.ip), port},
                          [self = shared_from_this(), &gateway](const boost::system::error_code& failed) {
                              if (failed) {
                                  self->fail();
                                  return;
                              }
                              gateway.up = true;
                              self->send_request();
                          });
}

void soak_world::caller::send_request()
{
    boost::system::error_code ignored; // the gateway may have been killed
    const std::string text =
        "POST " + call_.path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" +
        "Dragonflymill-Attempt-Id: " + call_.request + "\r\nDragonflymill-Request-Deadline: 4000\r\n" +
        (call_.is_stream()
             ? "Dragonflymill-Token-Count: 100,8\r\nDragonflymill-Prompt-Prefix: " + call_.parts + "\r\n"
             : "") +
        "Content-Length: " + std::to_string(call_.body.size()) + "\r\n\r\n" + call_.body;
    world_.requests_.at(call_.request).sent_at = std::chrono::steady_clock::now();
    boost::asio::write(socket_, boost::asio::buffer(text), ignored);
    read();
}

void soak_world::caller::note_drain()
{
    const http::response_head& head = parser_.head();
    if (!head.value_of("Server-Leaving").empty()) {
        world_.statements_.passed_on_drain(std::string(head.value_of("Dragonflymill-Server-Seal")),
                                           world_.requests_.at(call_.request).gateway);
    }
}

void soak_world::caller::read()
{
    socket_.async_read_some(
        boost::asio::buffer(buffer_), [self = shared_from_this()](const auto& failed, std::size_t bytes) {
            auto state = self->parser_.take({self->buffer_.data(), bytes}, self->body_);
            if (failed) {
                state = failed == boost::asio::error::eof ? self->parser_.take_eof()
                                                          : http::response_state::invalid;
            }
            if (state == http::response_state::body || state == http::response_state::complete) {
                self->note_drain();
            }
            const bool over =
                failed || state == http::response_state::complete || state == http::response_state::invalid;
            over ? self->end(state) : self->read();
        });
}

void soak_world::caller::end(http::response_state state)
{
    const std::string expected = expected_answer(call_.request, call_.is_stream());
    promises& kept = world_.promises_;
    const unsigned status = parser_.head().status;
    const bool complete = state == http::response_state::complete && status == 200;
    if (complete) {
        kept.answered(call_.request, body_, expected);
        world_.calm_answers_ += call_.calm ? 1 : 0;
    }
    else if (status == 200) {
        kept.part(call_.request, body_, expected);
    }
    else if (status == 503 || status == 429) {
        kept.told_not_run(call_.request, call_.is_repeatable());
    }
    socket_.close();
    if (!complete) {
        fail();
    }
}

void soak_world::caller::fail()
{
    if (call_.on_failed) {
        call_.on_failed();
    }
}

} // namespace dragonflymill::soak
