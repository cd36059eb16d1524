#include "edge/caller_capacity.h"

#include "edge/status_pages.h"

#include <algorithm>

namespace dragonflymill::edge {

namespace {

constexpr std::size_t status_ports = 2;
/// Sockets for the listeners, datagrams and the record source.
constexpr std::size_t fixed_sockets = 8;
/// Shares of the sockets for peers' fetches and for reports and reservations, and the least of each.
constexpr std::size_t peer_share = 8;
constexpr std::size_t order_share = 16;
constexpr std::size_t min_set_aside = 8;
constexpr std::size_t min_connections = 8;

} // namespace

auto capacity_of_host(std::size_t memory_bytes, std::size_t sockets) -> caller_capacity
{
    caller_capacity capacity;
    capacity.memory_bytes = memory_bytes / 2;
    capacity.peer_fetches = std::max(sockets / peer_share, min_set_aside);
    const std::size_t set_aside = fixed_sockets + status_ports * status_pages::max_connections +
                                  capacity.peer_fetches + std::max(sockets / order_share, min_set_aside);
    const std::size_t left = sockets - std::min(sockets, set_aside);
    capacity.connections = std::max(left / 2, min_connections);
    return capacity;
}

} // namespace dragonflymill::edge
