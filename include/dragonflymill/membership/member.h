#pragma once

#include "dragonflymill/core/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace dragonflymill {

/// What a process of ours does.
enum class process_role
{
    gateway, ///< Takes callers' requests.
    sidecar, ///< Stands beside an upstream.
};

/// What a process is believed to be.
enum class member_state
{
    alive,   ///< Answers.
    suspect, ///< Did not answer; may still refute.
    dead,    ///< Did not answer nor refute in time.
    leaving, ///< Said itself that it is stopping; final for this start.
};

/// Name of a state, as it stands in logs and status.
[[nodiscard]] auto to_string(member_state state) -> const char*;

/// Orders what is said about a process. A later start beats everything about an earlier one; within a start
/// the process itself raises `refutation` to deny a suspicion.
struct member_number
{
    incarnation start;            ///< Start of the process.
    std::uint32_t refutation = 0; ///< Suspicions that it has denied since.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const member_number&, const member_number&) -> std::strong_ordering = default;
};

/// A process and where to find it.
struct member_info
{
    process_id id;                             ///< Its name.
    process_role role = process_role::gateway; ///< What it does.
    region_id region;                          ///< Where it runs.
    failure_domain_id domain;                  ///< Where it runs.
    host_id host;                              ///< Where it runs.
    std::string gossip_address;                ///< IP and UDP port of its membership.
    std::string peer_address;                  ///< IP and TCP port where peers fetch bundles.

    friend auto operator==(const member_info&, const member_info&) -> bool = default;
};

/// What is said about a process.
struct member_update
{
    member_info info;                         ///< Who.
    member_state state = member_state::alive; ///< What it is.
    member_number number;                     ///< Orders this against what was said before.

    friend auto operator==(const member_update&, const member_update&) -> bool = default;
};

/// Longest name in a member's information, in bytes; keeps every datagram in one Ethernet frame.
inline constexpr std::size_t max_member_name = 40;
/// Longest address in a member's information: an IPv6 number in brackets and a port.
inline constexpr std::size_t max_member_address = 48;

/// Whether the names and addresses are there, printable and within their bounds.
[[nodiscard]] auto fits_datagram(const member_info& info) -> bool;

/// Whether `news` replaces `known` about the same process.
[[nodiscard]] auto overrides(const member_update& news, const member_update& known) -> bool;

/// Upper bound of the bytes that an update takes in a datagram.
[[nodiscard]] auto size_bound(const member_update& update) -> std::size_t;

} // namespace dragonflymill
