#pragma once

#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/peer_table.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// A gateway's digest with its work in hand.
struct peer_message
{
    peer_digest digest; ///< Who it is and what it knows.
    load_report report; ///< Its work in hand.

    friend auto operator==(const peer_message&, const peer_message&) -> bool = default;
};

/// One datagram between gateways: the sender's own digest, or digests that a relay forwards.
struct peer_datagram
{
    std::string relay;       ///< Address of the relay that forwards them; empty: the origin sent it.
    bool for_relays = false; ///< The receiver forwards them to its own subscribers.
    std::vector<peer_message> messages; ///< At least one.

    friend auto operator==(const peer_datagram&, const peer_datagram&) -> bool = default;
};

/// Digests that one datagram carries at most: some 200 bytes each, so that it stays far below the largest
/// datagram even if each of them lists all its sender's work.
inline constexpr std::size_t max_digests = 24;

/// Parts digests that a relay forwards into datagrams.
[[nodiscard]] auto split_into_datagrams(const std::vector<peer_message>& messages, const std::string& relay,
                                        bool for_relays) -> std::vector<peer_datagram>;

} // namespace dragonflymill::direct
