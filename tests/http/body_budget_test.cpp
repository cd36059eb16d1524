#include "http/body_budget.h"

#include "http/http_server.h"
#include "http/http_text.h"
#include "runtime/io_thread.h"
#include "support/fault_cell.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace dragonflymill;
using namespace dragonflymill::http;

namespace {

using boost::asio::ip::tcp;
constexpr std::size_t large_body_bytes = 700 * 1024;

/// A server whose body budget fits one large body. Responds to each request with the length of its body.
class one_body_server
{
public:
    one_body_server()
    {
        cr_assert(server_.listen("127.0.0.1:0").has_value());
        address_ = server_.local_address();
        thread_.start();
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(std::stoi(address_.substr(address_.find(':') + 1)));
    }

private:
    static auto limits() -> http_limits
    {
        http_limits made;
        made.max_body_bytes = std::size_t{1} << 20U;
        made.max_bodies_bytes = std::size_t{1} << 20U;
        return made;
    }

    runtime::io_thread thread_;
    http_server server_{thread_.context(),
                        limits(),
                        {[](const std::shared_ptr<http_session>& session, const http_request& request) {
                             session->respond(session->exchange(),
                                              {200, "text/plain", {}, std::to_string(request.body.size())});
                         },
                         [](std::uint64_t /*exchange*/) {}}};
    std::string address_;
};

class upload
{
public:
    explicit upload(const one_body_server& server, const std::string& length_field,
                    const std::string& connection_value = "close")
    {
        socket_.connect({boost::asio::ip::address_v4::loopback(), server.port()});
        send("POST / HTTP/1.1\r\nHost: a\r\nConnection: " + connection_value +
             "\r\nExpect: 100-continue\r\n" + length_field + "\r\n\r\n");
    }
    void send(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
    /// First line from the server: `100 Continue` or the status line of the final response.
    [[nodiscard]] auto first_line() -> std::string
    {
        const auto length = boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received_), "\r\n");
        return received_.substr(0, length - 2);
    }
    void read_until_text(const std::string& text)
    {
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received_), text);
    }
    [[nodiscard]] auto read_to_end() -> std::string
    {
        boost::system::error_code ended;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received_), ended);
        cr_assert(ended == boost::asio::error::eof, "%s", ended.message().c_str());
        return received_;
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_{io_};
    std::string received_;
};

auto content_length_field(std::size_t bytes) -> std::string
{
    return "Content-Length: " + std::to_string(bytes);
}

} // namespace

Test(body_budget, claims_are_released_on_destruction)
{
    const auto budget = std::make_shared<body_budget>(100);
    {
        body_claim first(budget);
        body_claim second(budget);
        cr_assert(first.claim(60) && !second.claim(60) && second.claim(40));
        first.shrink(10);
        cr_assert(second.claim(50) && !second.claim(1));
        second.release();
        cr_assert(second.claim(90));
    }
    cr_assert(budget->take(100) && !budget->take(1));
}

FAULT_CELL_MORE(request_intake, two_faults, bodies_together)
{
    // Failure: the gateway is killed for its memory use and all clients lose their responses. A slow client
    // sends a large body while others send large bodies at the same time, each within the limit of a single
    // body; only single bodies were limited. Requests over the total budget are rejected before their body is
    // sent, and a client that sends it anyway still receives the response.
    const one_body_server server;
    upload first(server, content_length_field(large_body_bytes), "keep-alive");
    cr_assert(first.first_line() == "HTTP/1.1 100 Continue");
    upload second(server, content_length_field(large_body_bytes));
    cr_assert(second.first_line() == "HTTP/1.1 503 Service Unavailable");
    cr_assert(second.read_to_end().find("\"ran\":\"no\"") != std::string::npos);
    upload ignores_refusal(server, content_length_field(large_body_bytes));
    ignores_refusal.send(std::string(large_body_bytes, 'x'));
    cr_assert(ignores_refusal.read_to_end().find("503 Service Unavailable") != std::string::npos);
    upload chunked(server, "Transfer-Encoding: chunked");
    cr_assert(chunked.first_line() == "HTTP/1.1 503 Service Unavailable",
              "a chunked body must claim the maximum body size");
    upload small(server, content_length_field(1));
    small.send("x");
    cr_assert(small.read_to_end().find("200 OK") != std::string::npos,
              "the remaining budget must fit a small body");
    first.send(std::string(large_body_bytes, 'x'));
    first.read_until_text("\r\n\r\n" + std::to_string(large_body_bytes));
    upload after(server, content_length_field(large_body_bytes));
    after.send(std::string(large_body_bytes, 'x'));
    cr_assert(after.read_to_end().find("200 OK") != std::string::npos,
              "the first body must have been released from the budget");
}
