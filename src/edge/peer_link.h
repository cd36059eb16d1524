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

/// Sockets between gateways: UDP for digests, and TCP for fetching published records from a peer that has
/// newer ones.
class peer_link
{
public:
    /// Callbacks of the link.
    struct handlers
    {
        std::function<void(const direct::peer_datagram&)> on_datagram; ///< A valid datagram was received.
        std::function<direct::records_update(std::uint64_t)>
            records_since; ///< Records changed after a revision, for a peer's fetch.
        std::function<void(const direct::records_update&, const std::string&)>
            on_records; ///< A fetch succeeded: records and the peer's address.
        std::function<void(const std::string&)> on_fetch_failed; ///< A fetch failed: the reason.
    };

    /// At most `max_serving` fetches of peers are served at once; the peers of others ask another gateway.
    peer_link(boost::asio::io_context& loop, loop_timers& timers, handlers callbacks,
              std::size_t max_serving);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;

    /// Opens both sockets. Fails if the address can't be listened on.
    [[nodiscard]] auto listen(const socket_address& address) -> result<void>;
    /// Sends a datagram to each address, without acknowledgement; the next digest makes up for a lost one.
    void send(const direct::peer_datagram& datagram, const std::vector<std::string>& addresses);
    /// Requests all records that changed after a revision from a peer. No effect while a fetch is in flight.
    void fetch(const std::string& address, std::uint64_t after);
    /// Whether a fetch is in flight.
    [[nodiscard]] auto fetching() const -> bool { return fetching_; }

    /// A fetch that takes longer fails, and another peer is tried.
    static constexpr duration fetch_timeout = 800ms;
    /// Memory of replies that are being sent, unless there is only one.
    static constexpr std::size_t max_reply_bytes = 16'777'216;

private:
    class fetch_responder;
    class fetch_request;

    void receive();
    void accept();
    /// The framed reply to a fetch, which peers that ask for the same share; null if replies that peers
    /// haven't read yet take too much memory.
    [[nodiscard]] auto reply_to(std::uint64_t after) -> std::shared_ptr<const std::string>;

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    handlers handlers_;
    boost::asio::ip::udp::socket datagrams_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65'536> buffer_{};
    std::size_t max_serving_;
    std::shared_ptr<std::size_t> serving_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> reply_bytes_ = std::make_shared<std::size_t>(0); // of replies that are sent
    std::uint64_t last_reply_after_ = 0;
    std::uint64_t last_reply_revision_ = 0;
    std::weak_ptr<const std::string> last_reply_;
    bool fetching_ = false;
};

} // namespace dragonflymill::edge
