#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/peer_message.h"
#include "edge/loop_timers.h"
#include "settings/socket_address.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// The sockets between gateways: datagrams with each one's state, and connections over which one that lacks
/// published records takes them from another.
class peer_link
{
public:
    /// What the link tells.
    struct handlers
    {
        std::function<void(const direct::peer_datagram&)> on_datagram;      ///< A datagram came.
        std::function<direct::records_update(std::uint64_t)> records_since; ///< For a peer that asks.
        std::function<void(const direct::records_update&, const std::string&)>
            on_records;                                          ///< A peer answered.
        std::function<void(const std::string&)> on_fetch_failed; ///< It didn't; why.
    };

    peer_link(boost::asio::io_context& loop, loop_timers& timers, handlers taken);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;

    /// Opens both sockets.
    [[nodiscard]] auto listen(const socket_address& address) -> result<void>;
    /// Sends a datagram; a lost one is made up for by the next.
    void send(const direct::peer_datagram& datagram, const std::vector<std::string>& addresses);
    /// Asks a peer for all records that changed after a revision. One question is under way at a time.
    void fetch(const std::string& address, std::uint64_t after);
    /// Whether a question is under way.
    [[nodiscard]] auto fetching() const -> bool { return fetching_; }

    /// A peer that takes longer is given up and another one asked.
    static constexpr duration fetch_limit = 800ms;

private:
    class serving;
    class asking;

    void receive();
    void accept();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    handlers handlers_;
    boost::asio::ip::udp::socket datagrams_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65'536> buffer_{};
    bool fetching_ = false;
};

} // namespace dragonflymill::edge
