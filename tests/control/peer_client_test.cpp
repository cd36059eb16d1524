#include "control/peer_client.h"
#include "support/fault_cell.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>

using namespace dragonflymill;

FAULT_CELL(process_stop, connection_silent)
{
    // Operators see a process crash at the end of a planned stop. It had asked a peer for the bundle; the
    // peer's host accepts and stays silent. The process takes its control plane down, and then the call's end
    // comes on the transport's thread and reaches into what is gone.
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    const boost::asio::ip::tcp::acceptor silent(context, any);
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    std::atomic<bool> destroyed{false};
    std::atomic<bool> ended{false};
    std::atomic<bool> ended_late{false};
    auto client = std::make_unique<control::peer_client>(1s);
    client->fetch_manifest(address, [&](const std::optional<std::string>& /*manifest*/) {
        ended_late = destroyed.load();
        ended = true;
    });
    client.reset();
    destroyed = true;
    while (!ended) {
        std::this_thread::yield();
    }
    cr_assert_not(ended_late);
}
