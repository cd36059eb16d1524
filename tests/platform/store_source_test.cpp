#include "platform/store_source.h"

#include "support/standin_upstream.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::platform;
using test_support::standin_upstream;
using test_support::taken_connection;

namespace {

constexpr std::size_t part_bytes = 1'048'576;

/// Sends parts of a body until the connection is closed, and counts them.
void send_endlessly(const std::shared_ptr<taken_connection>& connection, std::size_t& parts)
{
    static const std::string part(part_bytes, ' ');
    boost::asio::async_write(connection->socket, boost::asio::buffer(part),
                             [connection, &parts](const auto& failed, std::size_t /*bytes*/) {
                                 if (!failed) {
                                     ++parts;
                                     send_endlessly(connection, parts);
                                 }
                             });
}

} // namespace

// Guards against a store whose answer never ends: it takes the gateway's memory within the time of one call.
Test(store_source, gives_up_an_answer_without_end)
{
    boost::asio::io_context loop{1};
    edge::loop_timers timers(loop);
    std::size_t parts = 0;
    standin_upstream store(loop, [&](taken_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{");
        send_endlessly(connection.shared_from_this(), parts);
    });
    store_source source(loop, timers, store.address());
    std::string why;
    source.start({[](const direct::records_update&) {}, [&](const std::string& reason) { why = reason; },
                  [] {}, [] { return std::uint64_t(0); }, [] { return true; }});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (why.empty() && std::chrono::steady_clock::now() < end) {
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    source.stop();
    cr_assert(why == "the answer is too long", "%s after %zu MiB", why.c_str(), parts);
    constexpr std::size_t socket_buffer_parts = 16;
    cr_assert(parts * part_bytes <=
              store_source::store_source::max_answer_bytes + socket_buffer_parts * part_bytes);
}
