#pragma once

#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/upstream_speeds.h"
#include "dragonflymill/limit/shared_rate_limits.h"
#include "dragonflymill/quarantine/crash_evidence.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// A gateway's digest and its reports of load, rate limits and slowdowns.
struct peer_message
{
    peer_digest digest;                         ///< Identity and state of the gateway.
    load_report report;                         ///< Its work in flight.
    std::vector<rate_limit_report> rate_limits; ///< Rate limits that it knows of; not all in every message.
    std::vector<slowdown_report> slowdowns;     ///< What it has observed of upstreams that are or were slow.
    evidence_report evidence;                   ///< Under which calls upstreams crashed.

    friend auto operator==(const peer_message&, const peer_message&) -> bool = default;
};

/// A datagram between gateways: the sender's own digest, or digests that a relay forwards.
struct peer_datagram
{
    std::string relay;       ///< Address of the forwarding relay; empty if the origin sent the datagram.
    bool for_relays = false; ///< Whether the receiver forwards the digests to its own subscribers.
    std::vector<peer_message> messages; ///< At least one.

    friend auto operator==(const peer_datagram&, const peer_datagram&) -> bool = default;
};

/// Maximum number of digests in a datagram. At about 200 bytes each, and 2300 more with the most reports of
/// slowdowns and crashes, the datagram stays below the maximum size even if each digest lists all work of its
/// sender.
inline constexpr std::size_t max_digests_per_datagram = 24;

/// Splits the digests that a relay forwards into datagrams.
[[nodiscard]] auto split_into_datagrams(const std::vector<peer_message>& messages, const std::string& relay,
                                        bool for_relays) -> std::vector<peer_datagram>;

} // namespace dragonflymill::direct
