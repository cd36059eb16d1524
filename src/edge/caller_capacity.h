#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>

namespace dragonflymill::edge {

/// What a gateway may spend on callers and peers.
struct caller_capacity
{
    std::size_t memory_bytes = 134'217'728; ///< Memory for callers' connections and requests.
    std::size_t connections = 1'500;        ///< Open connections of callers.
    std::size_t peer_fetches = 400;         ///< Fetches of other gateways that are served at once.
    /// Time in which the body of a request must arrive that states no shorter time limit of its own.
    duration body_time = 60s;

    friend auto operator==(const caller_capacity&, const caller_capacity&) -> bool = default;
};

/// Capacity of a gateway on a host that allows its process `memory_bytes` of memory and `sockets` open
/// sockets. Half of the memory is for callers; the other half is for the program, the records of a fleet,
/// queued calls and what the allocator and the sockets hold besides. Of the sockets, some are set aside for
/// checks of readiness, metrics, peers, the record source, reports and reservations; a connection of a caller
/// needs one of the others and leaves one for its call to an upstream.
[[nodiscard]] auto capacity_of_host(std::size_t memory_bytes, std::size_t sockets) -> caller_capacity;

} // namespace dragonflymill::edge
