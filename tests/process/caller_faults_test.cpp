#include "process/process_fleet.h"

#include "support/fault_cell.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

using boost::asio::ip::tcp;

/// A caller that sends raw bytes, to violate HTTP on purpose.
class raw_caller
{
public:
    explicit raw_caller(const std::string& address)
    {
        const auto colon = address.find(':');
        socket_.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    }
    void send(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
    void half_close() { socket_.shutdown(tcp::socket::shutdown_send); }
    [[nodiscard]] auto read_to_end() -> std::string
    {
        std::string out;
        boost::system::error_code failure;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(out), failure);
        return out;
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_{io_};
};

} // namespace

FAULT_CELL_MORE(request_intake, message_lost, slow_caller)
{
    // A caller that sends half a request head and then stalls must not block other callers.
    process_fleet fleet;
    raw_caller slow(fleet.gateway("gateway-1"));
    slow.send("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Le");
    cr_assert(is_whole_answer(standins::call_and_wait(fleet.completion("gateway-1", 100, 4)), 100, 4));
}

FAULT_CELL_MORE(request_intake, message_lost, half_closed_caller)
{
    // Some clients shut down their sending half after the request. Such a caller must get a response or a
    // closed connection, the engines must release its call, and other callers must be served.
    process_fleet fleet;
    raw_caller caller(fleet.gateway("gateway-1"));
    const auto call = fleet.completion("gateway-1", 100, 4);
    caller.send("POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "
                "key-of-doorstep\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(call.body.size()) + "\r\n\r\n" + call.body);
    caller.half_close();
    (void)caller.read_to_end();
    for (const std::string engine : {"engine-1", "engine-2"}) {
        cr_assert(comes_true([&] { return fleet.held(engine) == 0; }));
    }
    cr_assert(is_whole_answer(standins::call_and_wait(call), 100, 4));
}

FAULT_CELL_MORE(request_intake, message_reordered, malformed_and_wrong_key)
{
    // Bytes that are not HTTP, a body that is not JSON, and an unknown API key must each be refused with the
    // matching status before they reach an engine, and the gateway must still serve valid calls.
    process_fleet fleet;
    raw_caller caller(fleet.gateway("gateway-1"));
    caller.send("\x16\x03\x01 no request at all\r\n\r\n");
    const auto refused = caller.read_to_end();
    cr_assert(refused.empty() || refused.find(" 400 ") != std::string::npos, "%s", refused.c_str());
    cr_assert(standins::call_and_wait(fleet.call("gateway-1", "/v1/completions", "{")).status == 400);
    auto unauthorized = fleet.completion("gateway-1", 100, 4);
    unauthorized.headers.front().second = "Bearer nobody";
    const auto response = standins::call_and_wait(unauthorized);
    cr_assert(response.status == 401, "%u %s", response.status, response.body.c_str());
    cr_assert(response.body.find(R"("ran":"no")") != std::string::npos, "%s", response.body.c_str());
    cr_assert(is_whole_answer(standins::call_and_wait(fleet.completion("gateway-1", 100, 4)), 100, 4));
}
