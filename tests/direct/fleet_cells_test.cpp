#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "gossip_world.h"

#include <criterion/criterion.h>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;
using namespace dragonflymill::direct::test;

namespace {

/// A fleet at its smallest size with one cell, for each of which the cells double.
constexpr int base_gateways = 80;
constexpr std::size_t base_upstreams = 140;

auto cells_of(const std::string& address, std::size_t upstreams) -> fleet_cells
{
    fleet_cells cells(address);
    (void)cells.update(upstreams, start);
    return cells;
}

auto service_of(std::size_t count) -> upstream_list
{
    upstream_list fleet;
    fleet_config::parts parts;
    parts.version = 1;
    parts.services = {{"bookings", 50, 3s, 10.0, std::nullopt}};
    fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
    for (std::size_t i = 0; i < count; ++i) {
        upstream_entry entry;
        entry.id = "u" + std::to_string(i);
        entry.service = "bookings";
        entry.failure_domain = "a";
        entry.slots = 4;
        fleet.take("k" + entry.id, entry, start);
    }
    return fleet;
}

auto dispatcher_of(const std::string& address, const upstream_list& fleet) -> call_dispatcher
{
    call_dispatcher decider({"a", {0.2, 10.0, 10s}, stable_hash(address)});
    decider.set_cells(cells_of(address, fleet.largest_service()));
    return decider;
}

auto waiting(std::uint64_t id) -> waiting_call
{
    waiting_call made;
    made.id = id;
    made.service = "bookings";
    made.latency_target_at = start + 100ms;
    made.aim = 100ms;
    made.client_timeout_at = start + 1500ms;
    made.queue_timeout_at = start + 200ms;
    return made;
}

/// Returns the upstreams that get calls from one gateway, if it sends as many as all of them can run.
auto used_upstreams(call_dispatcher& decider, const upstream_list& fleet) -> std::set<std::string>
{
    for (std::uint64_t id = 1; id <= 4 * fleet.upstreams().size(); ++id) {
        decider.add(waiting(id));
    }
    std::set<std::string> used;
    for (const dispatch_assignment& assignment : decider.decide(fleet, start).orders) {
        used.insert(assignment.upstream.id);
    }
    return used;
}

} // namespace

Test(fleet_cells, a_fleet_is_divided_only_if_each_part_is_large_enough)
{
    cr_assert(fleet_cells::count_for(0) == 1);
    cr_assert(fleet_cells::count_for(2 * fleet_cells::min_part_size - 1) == 1);
    cr_assert(fleet_cells::count_for(2 * fleet_cells::min_part_size) == 2);
    cr_assert(fleet_cells::count_for(5 * fleet_cells::min_part_size) == 4, "a power of two");
}

// Guards against gateways that move between cells while upstreams are replaced one after the other.
Test(fleet_cells, changes_the_number_of_cells_only_after_the_settle_time)
{
    constexpr std::size_t limit = 2 * fleet_cells::min_part_size;
    fleet_cells cells("10.0.0.1:1");
    cr_assert(!cells.known() && cells.count() == 1);
    cr_assert(cells.update(limit, start) && cells.count() == 2, "the first number takes effect at once");
    cr_assert(!cells.update(limit - 1, start + 1s));
    cr_assert(!cells.update(limit, start + 2s));
    cr_assert(!cells.update(limit - 1, start + 3s + fleet_cells::settle_time - 1ms));
    cr_assert(cells.update(limit - 1, start + 3s + 2 * fleet_cells::settle_time) && cells.count() == 1);
}

Test(fleet_cells, doubling_the_cells_only_splits_them)
{
    const fleet_cells two = cells_of("10.0.0.1:1", 2 * fleet_cells::min_part_size);
    const fleet_cells four = cells_of("10.0.0.1:1", 4 * fleet_cells::min_part_size);
    for (int i = 0; i < 100; ++i) {
        const std::string address = gossip_world::address_of(i);
        cr_assert(!four.is_own(address) || two.is_own(address));
        cr_assert(four.cell_of(address) % 2 == two.cell_of(address));
    }
}

// Pattern: a fleet of 560 upstreams. Each upstream must belong to the part of exactly one cell, or calls of
// several cells, which don't know each other's load, would meet there.
Test(fleet_cells, each_upstream_is_in_the_part_of_one_cell)
{
    constexpr std::size_t upstreams = 560;
    std::vector<fleet_cells> one_of_each;
    for (int i = 0; one_of_each.size() < 4; ++i) {
        fleet_cells cells = cells_of(gossip_world::address_of(i), upstreams);
        if (cells.own() == one_of_each.size()) {
            one_of_each.push_back(cells);
        }
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        int owners = 0;
        for (const fleet_cells& cells : one_of_each) {
            owners += cells.in_own_part(stable_hash("u" + std::to_string(i)), upstreams) ? 1 : 0;
        }
        cr_assert(owners == 1);
    }
    cr_assert(one_of_each[0].parts_of(24) == 1, "a small service is not divided");
}

// Pattern: the fleet at n, 2n and 4n. Guards against decisions that examine all upstreams of the fleet: a
// gateway uses a part of the same size.
Test(fleet_cells, upstreams_that_a_gateway_uses_do_not_grow_with_the_fleet)
{
    for (const std::size_t factor : {1U, 2U, 4U}) {
        const upstream_list fleet = service_of(factor * base_upstreams);
        call_dispatcher decider = dispatcher_of("10.0.0.1:1", fleet);
        const std::size_t used = used_upstreams(decider, fleet).size();
        cr_assert(used >= base_upstreams * 7 / 10 && used <= base_upstreams * 13 / 10, "%zu of %zu", used,
                  fleet.upstreams().size());
    }
}

// Guards against refusing calls while other cells are idle: all upstreams of a part may be drained at once.
Test(fleet_cells, a_cell_without_upstreams_uses_those_of_other_cells)
{
    upstream_list fleet = service_of(2 * base_upstreams);
    call_dispatcher decider = dispatcher_of("10.0.0.1:1", fleet);
    const std::set<std::string> own = used_upstreams(decider, fleet);
    for (const std::string& id : own) {
        upstream_entry entry = fleet.upstreams().at(id).entry;
        entry.leaving = true;
        fleet.take("k" + id, entry, start);
    }
    call_dispatcher fresh = dispatcher_of("10.0.0.1:1", fleet);
    const std::set<std::string> used = used_upstreams(fresh, fleet);
    cr_assert(used.size() + own.size() == fleet.upstreams().size());
}

// Guards against exceeding the limit of a cold upstream: gateways of other cells, whose calls its own cells
// don't know, send it none.
Test(fleet_cells, a_cold_upstream_gets_no_call_of_another_cell)
{
    upstream_list fleet = service_of(2 * base_upstreams);
    call_dispatcher decider = dispatcher_of("10.0.0.1:1", fleet);
    const std::set<std::string> own = used_upstreams(decider, fleet);
    const upstream_list before = fleet;
    for (const auto& [id, state] : before.upstreams()) {
        upstream_entry entry = state.entry;
        entry.leaving = own.contains(id);
        entry.cold_remaining = 3s;
        entry.started_ms = 1;
        fleet.take("k" + id, entry, start);
    }
    call_dispatcher fresh = dispatcher_of("10.0.0.1:1", fleet);
    cr_assert(used_upstreams(fresh, fleet).empty());
}

// Pattern: the whole fleet of n, 2n and 4n gateways starts at once and knows three seeds. Guards against a
// start whose datagrams grow with the square of the fleet, and against relays that all digests of the fleet
// pass: what the busiest gateway receives and sends is bounded by the size of a cell.
Test(fleet_cells, digests_of_a_gateway_do_not_grow_with_the_fleet)
{
    std::vector<int> received;
    std::vector<int> sent;
    std::vector<int> digests;
    for (const int factor : {1, 2, 4}) {
        gossip_world world(factor * base_gateways, static_cast<std::size_t>(factor) * base_upstreams);
        world.run(start, start + 4s);
        cr_assert(world.cells() == static_cast<cell_id>(factor));
        cr_assert(world.incomplete() == 0, "%d gateways don't know their cell", world.incomplete());
        world.reset_counts();
        world.run(start + 4s, start + 5s);
        cr_assert(world.oldest_digest() <= 300ms);
        received.push_back(world.most_received());
        sent.push_back(world.most_sent());
        digests.push_back(world.most_digests());
    }
    // Hashing makes some of four cells up to a third larger than the mean. Counts that grow with the fleet
    // would be two and four times the first.
    for (const std::vector<int>& counts : {received, sent, digests}) {
        cr_assert(counts[1] <= counts[0] * 3 / 2 && counts[2] <= counts[0] * 3 / 2, "%d, %d, %d", counts[0],
                  counts[1], counts[2]);
    }
}
