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

/// A server with room for one large body, that answers each request with the length of its body.
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
    /// The first line that the server says: "go on", or a final answer.
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

Test(body_budget, what_is_claimed_is_given_back_at_the_end)
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
    // All callers of a gateway lose their answers: the process is ended for its memory. Order: a caller sends
    // a large body and is slow; others send large bodies at the same time, each within its limit. Cause: only
    // the single body was bounded. Those without room are told so before they have sent a byte of it, and one
    // that sends on all the same still sees its answer.
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
    cr_assert(chunked.first_line() == "HTTP/1.1 503 Service Unavailable", "it may be as large as any");
    upload small(server, content_length_field(1));
    small.send("x");
    cr_assert(small.read_to_end().find("200 OK") != std::string::npos, "there is room for a small one");
    first.send(std::string(large_body_bytes, 'x'));
    first.read_until_text("\r\n\r\n" + std::to_string(large_body_bytes));
    upload after(server, content_length_field(large_body_bytes));
    after.send(std::string(large_body_bytes, 'x'));
    cr_assert(after.read_to_end().find("200 OK") != std::string::npos, "the first one's room is free again");
}
