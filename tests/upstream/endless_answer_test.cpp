#include "runtime/clock.h"
#include "support/early_responder.h"
#include "upstream/engine_client.h"
#include "upstream/service_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

/// An upstream that answers each request with a body without end.
struct endless_upstream
{
    [[nodiscard]] auto endpoint() const -> boost::asio::ip::tcp::endpoint
    {
        const std::string address = responder.address();
        return {boost::asio::ip::address_v4::loopback(),
                static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))};
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
    service_spec booking;
    booking.method = "POST";
    booking.target = "/";
    client.run({call_number(1), booking, runtime::now() + 30s, 30s});
    service.run_until_closed();
    cr_assert(failed);
    cr_assert(service.responder.sent_bytes() <= max_answer_bytes + socket_buffer_bytes, "%zu bytes",
              service.responder.sent_bytes());
}
