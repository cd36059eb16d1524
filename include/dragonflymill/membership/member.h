#pragma once

#include "dragonflymill/core/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace dragonflymill {

/// Role of a process in the fleet.
enum class process_role
{
    gateway, ///< Receives client requests.
    sidecar, ///< Runs beside an upstream.
};

/// State of a member as seen by another process.
enum class member_state
{
    alive,   ///< Responds to probes.
    suspect, ///< Missed a probe; can still refute the suspicion.
    dead,    ///< Neither responded nor refuted in time.
    leaving, ///< Announced that it is stopping; final for this incarnation.
};

/// Name of a state as written to logs and status.
[[nodiscard]] auto to_string(member_state state) -> const char*;

/// Orders updates about a process. A later incarnation overrides everything about an earlier one; within an
/// incarnation the process raises `refutation` to refute a suspicion.
struct member_number
{
    incarnation start;            ///< Incarnation of the process: its start.
    std::uint32_t refutation = 0; ///< Number of suspicions refuted in this incarnation.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const member_number&, const member_number&) -> std::strong_ordering = default;
};

/// Identity, location and addresses of a process.
struct member_info
{
    process_id id;                             ///< Id of the process.
    process_role role = process_role::gateway; ///< Role of the process.
    region_id region;                          ///< Region it runs in.
    failure_domain_id domain;                  ///< Failure domain it runs in.
    host_id host;                              ///< Host it runs on.
    std::string gossip_address;                ///< IP address and UDP port for gossip.
    std::string peer_address;                  ///< IP address and TCP port where peers fetch bundles.

    friend auto operator==(const member_info&, const member_info&) -> bool = default;
};

/// Update about a member.
struct member_update
{
    member_info info;                         ///< Member concerned.
    member_state state = member_state::alive; ///< Its state.
    member_number number;                     ///< Orders this update relative to others about the member.

    friend auto operator==(const member_update&, const member_update&) -> bool = default;
};

/// Maximum length of a name in a member's information, in bytes; keeps every datagram in one Ethernet frame.
inline constexpr std::size_t max_member_name = 40;
/// Maximum length of an address in a member's information, in bytes: an IPv6 address in brackets and a port.
inline constexpr std::size_t max_member_address = 48;

/// Whether the names and addresses are printable and within their limits, and the id and gossip address are
/// set.
[[nodiscard]] auto fits_datagram(const member_info& info) -> bool;

/// Whether update `news` replaces update `known` about the same process.
[[nodiscard]] auto overrides(const member_update& news, const member_update& known) -> bool;

/// Upper bound of the encoded size of an update, in bytes.
[[nodiscard]] auto size_bound(const member_update& update) -> std::size_t;

} // namespace dragonflymill
