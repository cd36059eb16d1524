#pragma once

#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/membership/member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Probes a member. A starting process also learns from the response which bundle is in force.
struct ping_message
{
    std::uint64_t sequence = 0; ///< Repeated in the acknowledgement.

    friend auto operator==(const ping_message&, const ping_message&) -> bool = default;
};

/// Acknowledges a ping or an indirect ping.
struct ack_message
{
    std::uint64_t sequence = 0; ///< Sequence number of the ping or of the ping request.

    friend auto operator==(const ack_message&, const ack_message&) -> bool = default;
};

/// Asks a member to ping the target on the sender's behalf (indirect probe), as only the path between sender
/// and target may be broken.
struct ping_request_message
{
    std::uint64_t sequence = 0; ///< Repeated in the acknowledgement.
    process_id target;          ///< Member to ping.

    friend auto operator==(const ping_request_message&, const ping_request_message&) -> bool = default;
};

/// Requests the page of members that follows a name.
struct sync_request_message
{
    process_id after; ///< Last name received; empty for the first page.

    friend auto operator==(const sync_request_message&, const sync_request_message&) -> bool = default;
};

/// Returns a page of members, in the datagram's updates.
struct sync_page_message
{
    bool last = false; ///< Whether this is the last page.

    friend auto operator==(const sync_page_message&, const sync_page_message&) -> bool = default;
};

/// Carries updates that must not wait for the next ping: a bundle or an operator's notice.
struct announce_message
{
    friend auto operator==(const announce_message&, const announce_message&) -> bool = default;
};

/// Type-specific content of a datagram.
using datagram_body = std::variant<ping_message, ack_message, ping_request_message, sync_request_message,
                                   sync_page_message, announce_message>;

/// Datagram between two processes. Every type also carries membership updates.
struct datagram
{
    member_update sender;              ///< State of the sender.
    process_id receiver;               ///< Receiver; empty if only its address is known.
    std::uint64_t counter = 0;         ///< Increases with every datagram of this incarnation of the sender.
    datagram_body body;                ///< Type-specific content.
    std::optional<bundle_notice> word; ///< Bundle in force at the sender; empty if it has none.
    std::uint64_t members_digest = 0;  ///< Digest of the members that the sender considers alive.
    std::uint32_t members_count = 0;   ///< Number of these members.
    std::vector<member_update> news;   ///< Propagated updates about members.
    std::vector<drain_notice> drains;  ///< Propagated operators' notices.

    friend auto operator==(const datagram&, const datagram&) -> bool = default;
};

/// Maximum size of a datagram, in bytes: fits an Ethernet frame without fragmentation.
inline constexpr std::size_t max_datagram_bytes = 1'400;
/// Maximum number of member updates in a datagram.
inline constexpr std::size_t max_datagram_news = 24;
/// Maximum number of operators' notices in a datagram.
inline constexpr std::size_t max_datagram_drains = 8;

} // namespace dragonflymill
