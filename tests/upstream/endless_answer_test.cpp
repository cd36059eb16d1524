#include "runtime/clock.h"
#include "support/early_responder.h"
#include "support/standin_upstream.h"
#include "upstream/engine_client.h"
#include "upstream/service_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <functional>
#include <string>

using namespace dragonflymill;
using test_support::early_responder;
using test_support::early_response;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// What the operating system may hold of a connection's bytes, besides what the client reads.
constexpr std::size_t socket_buffer_bytes = 16 * mebibyte;
/// More than any valid answer to an order, a cancellation or a release.
constexpr std::size_t max_control_bytes = mebibyte;

auto endpoint_of(const std::string& address) -> boost::asio::ip::tcp::endpoint
{
    return {boost::asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))};
}

auto booking_at(const std::string& target) -> service_spec
{
    service_spec booking;
    booking.method = "POST";
    booking.target = target;
    return booking;
}

/// An upstream that answers each request with a body without end.
struct endless_upstream
{
    [[nodiscard]] auto endpoint() const -> boost::asio::ip::tcp::endpoint
    {
        return endpoint_of(responder.address());
    }
    /// Runs the loop until the client has closed its connection.
    void run_until_closed()
    {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (responder.closed() == 0) {
            cr_assert(std::chrono::steady_clock::now() < give_up, "the client doesn't close");
            loop.run_one_for(std::chrono::milliseconds(20));
        }
    }

    boost::asio::io_context loop{1};
    early_responder responder{
        loop,
        {{"HTTP/1.1 200 OK\r\n\r\n", std::string(65'536, 'x')}, early_response::ending::repeat, 1, 0, false}};
};

/// Lets an engine client make one call and checks how much of the answer it reads.
void check_engine_call(const char* name, const std::function<void(upstream::engine_client&)>& call)
{
    endless_upstream engine;
    upstream::engine_client client(engine.loop, engine.endpoint(), {}, [](const sidecar_event&) {});
    call(client);
    engine.run_until_closed();
    cr_expect(engine.responder.sent_bytes() <= max_control_bytes + socket_buffer_bytes, "%s: %zu bytes", name,
              engine.responder.sent_bytes());
}

} // namespace

// Guards against an engine's answers without end to short calls, each of which is kept up to 64 MiB.
Test(endless_answer, to_a_control_call_is_not_kept)
{
    check_engine_call("cancel", [](auto& client) { client.cancel_stream({call_number(1), "r.1"}); });
    check_engine_call("release", [](auto& client) { client.release_span("r.1.source"); });
    check_engine_call("order", [](auto& client) {
        client.send_order({1, engine_order{}, runtime::now() + 30s});
    });
    check_engine_call("import", [](auto& client) {
        attempt_spec spec;
        spec.request = request_id("r");
        spec.imports = {{"r.1.source", "127.0.0.1:1", 0, 1'000}};
        client.start_stream({call_number(1), "r.1", spec, runtime::now() + 30s}, "prompt");
    });
}

// Guards against a service's answer without end that is kept until memory ends.
Test(endless_answer, of_a_service_is_not_kept)
{
    constexpr std::size_t max_answer_bytes = 4 * mebibyte;
    endless_upstream service;
    bool failed = false;
    upstream::service_client client(service.loop, service.endpoint(), 1s, [&](const sidecar_event& event) {
        failed = std::holds_alternative<sidecar_input::service_failed>(event);
    });
    client.run({call_number(1), booking_at("/"), runtime::now() + 30s, 30s});
    service.run_until_closed();
    cr_assert(failed);
    cr_assert(service.responder.sent_bytes() <= max_answer_bytes + socket_buffer_bytes, "%zu bytes",
              service.responder.sent_bytes());
}

// Guards against the memory of many answers at once, each of which stops just short of the size allowed.
Test(endless_answer, many_that_stall_are_not_kept, .timeout = 250)
{
    constexpr std::size_t calls = 64;
    constexpr std::size_t max_held_bytes = 64 * mebibyte;
    const std::string stalled =
        "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n" + std::string(4 * mebibyte - 1, 'x');
    boost::asio::io_context loop{1};
    test_support::standin_upstream service(loop, [&](test_support::taken_connection& connection) {
        if (connection.received.starts_with("POST /small ")) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        boost::asio::async_write(connection.socket, boost::asio::buffer(stalled),
                                 [self = connection.shared_from_this()](const auto&, std::size_t) {});
    });
    std::size_t failed = 0;
    std::size_t answered = 0;
    upstream::service_client client(
        loop, endpoint_of(service.address()), 1s, [&](const sidecar_event& event) {
            failed += std::holds_alternative<sidecar_input::service_failed>(event) ? 1 : 0;
            answered += std::holds_alternative<sidecar_input::service_answered>(event) ? 1 : 0;
        });
    const auto run_until = [&](const std::function<bool()>& done) {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!done() && std::chrono::steady_clock::now() < give_up) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
    };
    for (std::size_t number = 1; number <= calls; ++number) {
        client.run({call_number(number), booking_at("/stalled"), runtime::now() + 120s, 120s});
    }
    const auto held = [&] { return (calls - failed) * (4 * mebibyte - 1); };
    run_until([&] { return held() <= max_held_bytes; });
    cr_assert(held() <= max_held_bytes, "%zu of %zu calls have ended", failed, calls);
    client.run({call_number(calls + 1), booking_at("/small"), runtime::now() + 120s, 120s});
    run_until([&] { return answered > 0; });
    cr_assert(answered == 1 && failed < calls, "%zu answered, %zu of %zu failed", answered, failed, calls);
}
