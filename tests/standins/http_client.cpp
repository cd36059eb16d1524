#include "standins/http_client.h"

#include <array>
#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace dragonflymill::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

auto lower_case(std::string_view text) -> std::string
{
    std::string out(text);
    for (char& c : out) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return out;
}

auto head_of(const http_call& call) -> std::string
{
    auto out = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.address +
               "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\nConnection: close\r\n";
    for (const auto& [name, value] : call.headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    return out + "\r\n";
}

/// A call in flight, kept alive by its pending callbacks.
class running_call : public std::enable_shared_from_this<running_call>
{
public:
    running_call(asio::io_context& io, std::shared_ptr<const http_call> call, data_callback on_data,
                 answer_callback on_answer)
        : stream_(io)
        , call_(std::move(call))
        , on_data_(std::move(on_data))
        , on_answer_(std::move(on_answer))
    {
        parser_.body_limit(boost::none);
    }

    void start()
    {
        const auto colon = call_->address.rfind(':');
        boost::system::error_code code;
        const auto host = asio::ip::make_address(call_->address.substr(0, colon), code);
        if (code || colon == std::string::npos) {
            finish("address must be IP:PORT: " + call_->address);
            return;
        }
        const auto port =
            static_cast<std::uint16_t>(std::strtoul(call_->address.c_str() + colon + 1, nullptr, 10));
        stream_.expires_after(call_->time_limit);
        stream_.async_connect(asio::ip::tcp::endpoint(host, port),
                              [self = shared_from_this()](const auto& connect_code) {
                                  self->proceed(connect_code, "connect", [&] { self->write(); });
                              });
    }

private:
    template <typename Next>
    void proceed(const boost::system::error_code& code, const char* step, Next next)
    {
        if (code) {
            finish(std::string(step) + ": " + code.message());
        }
        else {
            next();
        }
    }

    void write()
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        head_ = head_of(*call_);
        const std::array<asio::const_buffer, 2> parts{asio::buffer(head_), asio::buffer(call_->body)};
        // Write errors are ignored: a server may respond and close before it has read the whole body, and its
        // response is still to be read.
        asio::async_write(stream_, parts,
                          [self = shared_from_this()](const auto&, std::size_t) { self->read(); });
    }

    void read()
    {
        http::async_read_some(
            stream_, buffer_, parser_, [self = shared_from_this()](const auto& code, std::size_t) {
                self->deliver_body();
                self->proceed(code, "read",
                              [&] { self->parser_.is_done() ? self->finish("") : self->read(); });
            });
    }

    void deliver_body()
    {
        auto& body = parser_.get().body();
        if (on_data_ && !body.empty()) {
            on_data_(body);
            body.clear();
        }
    }

    void finish(const std::string& failure)
    {
        http_answer answer;
        if (parser_.is_header_done()) {
            answer.status = parser_.get().result_int();
            for (const auto& field : parser_.get()) {
                const auto name = field.name_string();
                answer.headers.emplace_back(lower_case({name.data(), name.size()}),
                                            std::string(field.value()));
            }
            answer.body = std::move(parser_.get().body());
        }
        answer.failure = failure;
        const auto on_answer = std::move(on_answer_);
        on_answer(answer);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<const http_call> call_;
    data_callback on_data_;
    answer_callback on_answer_;
    std::string head_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
};

} // namespace

void start_call(asio::io_context& io, std::shared_ptr<const http_call> call, data_callback on_data,
                answer_callback on_answer)
{
    std::make_shared<running_call>(io, std::move(call), std::move(on_data), std::move(on_answer))->start();
}

auto call_and_wait(const http_call& call) -> http_answer
{
    asio::io_context io;
    http_answer out;
    start_call(io, std::make_shared<http_call>(call), nullptr, [&out](const auto& answer) { out = answer; });
    io.run();
    return out;
}

} // namespace dragonflymill::standins
