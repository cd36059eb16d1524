#include "standins/http_session.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <cstdio>

namespace dragonflymill::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t body_limit = 64ULL * 1024 * 1024;
constexpr std::size_t watch_buffer_size = 64ULL * 1024;

auto lower(std::string_view text) -> std::string
{
    std::string out(text);
    for (char& c : out) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return out;
}

auto percent_decode(std::string_view text) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
            out.push_back(static_cast<char>(value));
            i += 2;
        }
        else {
            out.push_back(text[i]);
        }
    }
    return out;
}

auto parse_query(std::string_view text) -> std::vector<http_field>
{
    std::vector<http_field> out;
    while (!text.empty()) {
        const auto field = text.substr(0, text.find('&'));
        const auto equals = field.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : field.substr(equals + 1);
        out.emplace_back(percent_decode(field.substr(0, equals)), percent_decode(value));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
    }
    return out;
}

auto to_http_request(http::request<http::string_body> message) -> http_request
{
    http_request out;
    const std::string_view target(message.target().data(), message.target().size());
    const auto query_mark = target.find('?');
    out.method = std::string(message.method_string());
    out.path = std::string(target.substr(0, query_mark));
    if (query_mark != std::string_view::npos) {
        out.query = parse_query(target.substr(query_mark + 1));
    }
    for (const auto& field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        out.headers.emplace_back(lower({name.data(), name.size()}), std::string(value));
    }
    out.body = std::move(message.body());
    return out;
}

auto status_line(unsigned status) -> std::string
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

} // namespace

http_session::http_session(asio::ip::tcp::socket socket, http_server::handler handle, end_callback ended)
    : socket_(std::move(socket))
    , handle_(std::move(handle))
    , ended_(std::move(ended))
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void http_session::start()
{
    read_request();
}

void http_session::hold(bool on)
{
    held_ = on;
    if (held_) {
        return;
    }
    pump();
    if (request_held_) {
        request_held_ = false;
        dispatch();
    }
}

void http_session::silence()
{
    silent_ = true;
}

void http_session::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (answering_ && closed_callback_) {
        const auto callback = std::move(closed_callback_);
        callback();
    }
    closed_callback_ = nullptr;
    ended_(shared_from_this());
}

void http_session::close_when_written()
{
    close_when_written_ = true;
    pump();
}

void http_session::read_request()
{
    parser_.emplace();
    parser_->body_limit(body_limit);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const auto& code, std::size_t) {
        if (self->silent_) {
            return;
        }
        if (code) {
            self->close();
            return;
        }
        if (self->held_) {
            self->request_held_ = true;
            return;
        }
        self->dispatch();
    });
}

void http_session::dispatch()
{
    ++number_;
    answering_ = true;
    watch_for_close();
    handle_(to_http_request(parser_->release()), http_exchange(shared_from_this(), number_));
}

// Keeps a read pending while the answer is made, since a disconnect of the caller only shows as end of file.
void http_session::watch_for_close()
{
    if (watching_) {
        return;
    }
    watching_ = true;
    socket_.async_read_some(buffer_.prepare(watch_buffer_size),
                            [self = shared_from_this()](const auto& code, std::size_t size) {
                                self->watching_ = false;
                                if (self->silent_) {
                                    return;
                                }
                                if (code) {
                                    self->close();
                                    return;
                                }
                                self->buffer_.commit(size);
                                if (!self->answering_) {
                                    self->read_request();
                                }
                            });
}

auto http_session::is_current(std::uint64_t number) const -> bool
{
    return open_ && answering_ && number == number_ && !close_when_written_;
}

void http_session::send(std::uint64_t number, unsigned status, std::string_view body,
                        const std::vector<http_field>& headers)
{
    if (!is_current(number)) {
        return;
    }
    auto head = status_line(status) + "Content-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    head += "Content-Type: application/json\r\n\r\n";
    queue(head.append(body));
    finish(number);
}

void http_session::open_stream(std::uint64_t number, std::string_view content_type)
{
    if (is_current(number)) {
        queue(status_line(200) + "Transfer-Encoding: chunked\r\nCache-Control: no-cache\r\nContent-Type: " +
              std::string(content_type) + "\r\n\r\n");
    }
}

void http_session::write_chunk(std::uint64_t number, std::string_view data)
{
    if (!is_current(number) || data.empty()) {
        return;
    }
    std::array<char, 20> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    queue(std::string(size.data(), static_cast<std::size_t>(length)).append(data).append("\r\n"));
}

void http_session::end_stream(std::uint64_t number)
{
    if (is_current(number)) {
        queue("0\r\n\r\n");
        finish(number);
    }
}

void http_session::on_closed(std::uint64_t number, std::function<void()> callback)
{
    if (is_current(number)) {
        closed_callback_ = std::move(callback);
    }
    else {
        callback();
    }
}

void http_session::queue(std::string bytes)
{
    pending_.empty() ? pending_ = std::move(bytes) : pending_ += bytes;
    pump();
}

void http_session::finish(std::uint64_t number)
{
    if (!is_current(number)) {
        return;
    }
    answering_ = false;
    closed_callback_ = nullptr;
    if (!watching_) {
        read_request();
    }
}

void http_session::pump()
{
    if (writing_now_ || held_ || silent_ || !open_) {
        return;
    }
    if (pending_.empty()) {
        if (close_when_written_) {
            close();
        }
        return;
    }
    writing_now_ = true;
    writing_ = std::move(pending_);
    pending_.clear();
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const auto& code, std::size_t) {
                          self->writing_now_ = false;
                          if (code) {
                              self->close();
                              return;
                          }
                          self->pump();
                      });
}

} // namespace dragonflymill::standins
