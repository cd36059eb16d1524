#include "edge/caller_capacity.h"

#include <criterion/criterion.h>

using namespace dragonflymill::edge;

// Guards against callers that leave no descriptors for their own calls to upstreams, or no place at all.
Test(caller_capacity, leaves_descriptors_for_calls_and_peers)
{
    constexpr std::size_t mebibyte = 1U << 20U;
    for (const std::size_t sockets : {300U, 3'900U, 16'184U}) {
        const caller_capacity capacity = capacity_of_host(160 * mebibyte, sockets);
        cr_assert(capacity.memory_bytes == 80 * mebibyte);
        cr_assert(2 * capacity.connections + capacity.peer_fetches < sockets, "%zu sockets", sockets);
    }
    cr_assert(capacity_of_host(160 * mebibyte, 50).connections > 0);
}
