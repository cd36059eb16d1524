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

/// "Are you there?" A starting process also learns from the answer which bundle is in force.
struct ping_message
{
    std::uint64_t sequence = 0; ///< Repeated in the answer.

    friend auto operator==(const ping_message&, const ping_message&) -> bool = default;
};

/// Answer to a ping, or to a request to ping on someone's behalf.
struct ack_message
{
    std::uint64_t sequence = 0; ///< That of the ping or of the request.

    friend auto operator==(const ack_message&, const ack_message&) -> bool = default;
};

/// "Ping this one for me": the way between the two of us may be what is broken.
struct ping_request_message
{
    std::uint64_t sequence = 0; ///< Repeated in the answer.
    process_id target;          ///< Whom to ping.

    friend auto operator==(const ping_request_message&, const ping_request_message&) -> bool = default;
};

/// "Tell me the members that come after this name."
struct sync_request_message
{
    process_id after; ///< Last name already told; empty for the first page.

    friend auto operator==(const sync_request_message&, const sync_request_message&) -> bool = default;
};

/// A page of members, in the datagram's updates.
struct sync_page_message
{
    bool last = false; ///< Whether no further page follows.

    friend auto operator==(const sync_page_message&, const sync_page_message&) -> bool = default;
};

/// News that should not wait for the next ping: a bundle or an operator's word.
struct announce_message
{
    friend auto operator==(const announce_message&, const announce_message&) -> bool = default;
};

/// What a datagram is for.
using datagram_body = std::variant<ping_message, ack_message, ping_request_message, sync_request_message,
                                   sync_page_message, announce_message>;

/// One datagram between two processes. Whatever it is for, it carries news.
struct datagram
{
    member_update sender;              ///< Who sent it.
    process_id receiver;               ///< For whom; empty if only the address is known.
    std::uint64_t counter = 0;         ///< Rises with every datagram of this start of the sender.
    datagram_body body;                ///< What it is for.
    std::optional<bundle_notice> word; ///< Bundle in force at the sender.
    std::uint64_t members_digest = 0;  ///< Digest of the members that the sender believes alive.
    std::uint32_t members_count = 0;   ///< How many these are.
    std::vector<member_update> news;   ///< What the sender passes on about members.
    std::vector<drain_notice> drains;  ///< Operators' words that the sender passes on.

    friend auto operator==(const datagram&, const datagram&) -> bool = default;
};

/// Largest datagram, in bytes: fits an Ethernet frame without fragments.
inline constexpr std::size_t max_datagram_bytes = 1'400;
/// Most members in a datagram.
inline constexpr std::size_t max_datagram_news = 24;
/// Most operators' words in a datagram.
inline constexpr std::size_t max_datagram_drains = 8;

} // namespace dragonflymill
