#include "http/caller_account.h"

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

/// A server whose memory fits three large bodies, but not the growth of a fourth. Responds to each request
/// with the length of its body.
class few_bodies_server
{
public:
    few_bodies_server()
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
    explicit upload(const few_bodies_server& server, const std::string& length_field,
                    const std::string& connection_value = "close")
    {
        socket_.connect({boost::asio::ip::address_v4::loopback(), server.port()});
        send("POST / HTTP/1.1\r\nHost: a\r\nConnection: " + connection_value +
             "\r\nExpect: 100-continue\r\n" + length_field + "\r\n\r\n");
    }
    /// Sends what the server accepts.
    void send(const std::string& text)
    {
        boost::system::error_code refused;
        boost::asio::write(socket_, boost::asio::buffer(text), refused);
    }
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

Test(caller_account, claims_are_released_on_destruction)
{
    constexpr std::size_t idle = caller_account::idle_connection_bytes;
    const auto budget = std::make_shared<caller_budget>(caller_budget_limits{100 + 2 * idle, 3});
    const auto ignore = [](caller_eviction) {};
    {
        caller_account first;
        caller_account second;
        cr_assert(first.open(budget, ignore) && second.open(budget, ignore));
        cr_assert(first.claim(60) && !second.claim(60) && second.claim(40));
        first.release(50);
        cr_assert(second.claim(50) && !second.claim(1));
        second.release(90);
        cr_assert(second.claim(90) && budget->held() == 100 + 2 * idle);
    }
    cr_assert(budget->held() == 0 && budget->connections() == 0);
}

FAULT_CELL_MORE(request_intake, two_faults, bodies_together)
{
    // Failure: the gateway is killed for its memory use and all clients lose their responses. A client stops
    // in the middle of a large body while others send large bodies, each within the limit of a single body;
    // only single bodies were limited. The stalled request gives way, truthfully; a client that has announced
    // a body and not sent it takes nothing from the others.
    const few_bodies_server server;
    upload stalled(server, content_length_field(large_body_bytes), "keep-alive");
    cr_assert(stalled.first_line() == "HTTP/1.1 100 Continue");
    stalled.send(std::string(large_body_bytes - 1, 'x'));
    upload stalled_later(server, content_length_field(large_body_bytes));
    stalled_later.send(std::string(large_body_bytes - 1, 'x'));
    upload stalled_last(server, content_length_field(large_body_bytes));
    stalled_last.send(std::string(large_body_bytes - 1, 'x'));
    upload announced(server, content_length_field(large_body_bytes));
    cr_assert(announced.first_line() == "HTTP/1.1 100 Continue");
    upload chunked(server, "Transfer-Encoding: chunked");
    cr_assert(chunked.first_line() == "HTTP/1.1 100 Continue");
    chunked.send("1\r\nx\r\n");
    upload small(server, content_length_field(1));
    small.send("x");
    cr_assert(small.read_to_end().find("200 OK") != std::string::npos,
              "the remaining memory must fit a small body");
    upload whole(server, content_length_field(large_body_bytes));
    whole.send(std::string(large_body_bytes, 'x'));
    cr_assert(whole.read_to_end().find("200 OK") != std::string::npos,
              "the stalled body must have given way to one that arrives");
    const std::string refusal = stalled.read_to_end();
    cr_assert(refusal.find("503 Service Unavailable") != std::string::npos &&
                  refusal.find("\"ran\":\"no\"") != std::string::npos,
              "%s", refusal.c_str());
    announced.send(std::string(large_body_bytes, 'x'));
    cr_assert(announced.read_to_end().find("200 OK") != std::string::npos,
              "the first bodies must have been released");
}
