#include "gateway_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr const char* status_line = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\n";

/// Sends `begin` and then `part` again and again, until the gateway closes the connection.
class endless_response : public std::enable_shared_from_this<endless_response>
{
public:
    endless_response(taken_connection& connection, std::string begin, std::string part)
        : connection_(connection.shared_from_this())
        , unsent_(std::move(begin))
        , part_(std::move(part))
    {
    }
    void send()
    {
        connection_->socket.async_write_some(
            boost::asio::buffer(unsent_), [self = shared_from_this()](const auto& failed, std::size_t sent) {
                if (failed) {
                    self->closed = true;
                    return;
                }
                self->bytes += sent;
                self->unsent_.erase(0, sent);
                if (self->unsent_.empty()) {
                    self->unsent_ = self->part_;
                }
                self->send();
            });
    }

    std::size_t bytes = 0;
    bool closed = false;

private:
    std::shared_ptr<taken_connection> connection_;
    std::string unsent_;
    std::string part_;
};

/// A gateway and one upstream, each of whose responses is endless.
struct endless_fixture : gateway_fixture
{
    endless_fixture(const std::string& service, const std::string& begin, const std::string& part)
    {
        add_upstream(service, [this, begin, part](taken_connection& connection) {
            responses.push_back(std::make_shared<endless_response>(connection, begin, part));
            responses.back()->send();
        });
        start();
    }

    std::vector<std::shared_ptr<endless_response>> responses;
};

/// What the operating system may hold of a connection's bytes, besides what the gateway reads.
constexpr std::size_t socket_buffer_bytes = 16U << 20U;

auto repeated(const std::string& text) -> std::string
{
    constexpr int times = 200;
    std::string all;
    for (int i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

void check_rejected(const std::string& begin, const std::string& part, std::size_t limit)
{
    endless_fixture fixture("bookings", begin, part);
    fixture.send("POST", "/book/1");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 502 "), "%s", fixture.received.c_str());
    fixture.run_until([&] { return fixture.responses[0]->closed; });
    cr_assert(fixture.responses[0]->bytes <= limit + socket_buffer_bytes);
}

} // namespace

// Guards against an upstream whose head never ends: memory, and a caller that waits for its whole time limit.
Test(endless_response, is_rejected_in_its_head)
{
    check_rejected("HTTP/1.1 200 OK\r\n", "x: y\r\n", http::response_limits{}.head_bytes);
    check_rejected("HTTP/1.1 200 OK\r\nx: ", std::string(1'000, 'y'), http::response_limits{}.head_bytes);
    check_rejected("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", http::response_limits{}.head_bytes);
}

// Guards against bytes without end where chunks are framed, which the parser has to keep.
Test(endless_response, is_rejected_in_the_framing_of_its_chunks)
{
    const std::string head = std::string(status_line) + "Transfer-Encoding: chunked\r\n\r\n";
    check_rejected(head + "1;x=", std::string(1'000, 'y'), http::response_limits{}.head_bytes);
    check_rejected(head + "1\r\na\r\n0\r\n", "x: y\r\n", http::response_limits{}.head_bytes);
}

// Guards against a stream that holds its caller with bytes that never become an event.
Test(endless_response, is_cut_in_a_stream_without_events)
{
    const std::string head = std::string(status_line) + "Content-Type: text/event-stream\r\n\r\n";
    for (const std::string& part : {repeated(": comment\n\n"), repeated("data: x\n"), repeated("x")}) {
        std::string begin = head;
        begin.append("id: 1\ndata: a\n\n").append(part.front() == 'x' ? "data: " : "");
        endless_fixture fixture("engines", begin, part);
        fixture.send("POST", "/tell/1", "Tokens: 100,10\r\n", "hello");
        fixture.run_until([&] { return fixture.caller_ended; });
        cr_assert(fixture.received.find("data: a\n\n") != std::string::npos);
        fixture.run_until([&] { return fixture.responses[0]->closed; });
    }
}

// Guards against an upstream that goes on sending to a caller that has gone.
Test(endless_response, ends_when_its_caller_closes)
{
    endless_fixture fixture("bookings", std::string(status_line) + "\r\n", std::string(1'000, 'x'));
    fixture.send("GET", "/find/1");
    fixture.run_until([&] { return fixture.responses.size() == 1 && fixture.received.size() > 100'000; });
    fixture.caller.close();
    fixture.run_until([&] { return fixture.responses[0]->closed; });
    cr_assert(fixture.responses.size() == 1, "it isn't sent again");
}
