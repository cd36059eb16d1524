#include "dragonflymill/direct/cell_directory.h"
#include "gossip_world.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;
using namespace dragonflymill::direct::test;

namespace {

constexpr std::size_t upstreams_per_cell = 140;

auto cells_of(const std::string& address, std::size_t cells) -> fleet_cells
{
    fleet_cells made(address);
    (void)made.update(cells * upstreams_per_cell, start);
    return made;
}

auto digest_from(const std::string& address, std::uint64_t revision = 1) -> peer_digest
{
    peer_digest digest;
    digest.gateway = address;
    digest.address = address;
    digest.revision = revision;
    return digest;
}

/// Returns addresses of gateways in another cell than `address`.
auto others_of(const std::string& address, std::size_t cells, std::size_t count) -> std::vector<std::string>
{
    const fleet_cells own = cells_of(address, cells);
    std::vector<std::string> found;
    for (int i = 0; found.size() < count; ++i) {
        if (!own.is_own(gossip_world::address_of(i))) {
            found.push_back(gossip_world::address_of(i));
        }
    }
    return found;
}

} // namespace

// Guards against a gateway that starts alone and waits for its turn to ask a seed, which may be down.
Test(cell_directory, a_gateway_without_peers_asks_all_seeds)
{
    const auto seeds = others_of("self", 4, 3);
    const cell_directory directory("self", seeds);
    auto asked = directory.targets(cells_of("self", 4), 1, true);
    std::sort(asked.begin(), asked.end());
    cr_assert(asked == seeds);
    cr_assert(directory.targets(fleet_cells("self"), 1, true).size() == 3, "also before it knows its cell");
}

// Pattern: fleets of n, 2n and 4n gateways. Guards against seeds that receive digests in proportion to the
// fleet.
Test(cell_directory, digests_that_a_seed_receives_do_not_grow_with_the_fleet)
{
    constexpr int gateways_per_cell = 100;
    constexpr std::uint64_t rounds = 48;
    std::vector<int> received;
    for (const std::size_t cells : {4U, 8U, 16U}) {
        std::map<std::string, int> counts;
        const int gateways = gateways_per_cell * static_cast<int>(cells);
        for (int i = 10; i < 10 + gateways; ++i) {
            const std::string address = gossip_world::address_of(i);
            const cell_directory directory(address, {"seed-a", "seed-b", "seed-c"});
            for (std::uint64_t round = 0; round < rounds; ++round) {
                for (const std::string& target : directory.targets(cells_of(address, cells), round, false)) {
                    ++counts[target];
                }
            }
        }
        received.push_back(std::max({counts["seed-a"], counts["seed-b"], counts["seed-c"]}));
    }
    cr_assert(received[1] <= received[0] * 13 / 10 && received[2] <= received[0] * 13 / 10, "%d, %d, %d",
              received[0], received[1], received[2]);
}

// Guards against gateways that contact only the seeds, since they learn of nobody else.
Test(cell_directory, an_answer_names_members_of_the_cell_and_further_gateways)
{
    const fleet_cells cells = cells_of("self", 4);
    cell_directory directory("self", {});
    const auto known = others_of("self", 4, 300);
    for (const std::string& address : known) {
        directory.take(digest_from(address), start);
    }
    const cell_id asking = cells.cell_of(known.front());
    const auto answer = directory.introductions(cells, asking, 1);
    const auto members = std::count_if(answer.begin(), answer.end(), [&](const std::string& address) {
        return cells.cell_of(address) == asking;
    });
    cr_assert(members == static_cast<std::ptrdiff_t>(cell_directory::max_members));
    cr_assert(answer.size() == cell_directory::max_members + cell_directory::further_contacts);
    cr_assert(directory.introductions(cells, asking, 2) != answer, "all are named within a few rounds");
}

Test(cell_directory, learned_gateways_are_contacted_and_those_of_the_own_cell_are_not)
{
    const fleet_cells cells = cells_of("self", 4);
    cell_directory directory("self", {});
    directory.learn(cells, {"self"}, start);
    cr_assert(directory.size() == 0);
    const auto others = others_of("self", 4, 2);
    directory.learn(cells, others, start);
    cr_assert(directory.size() == 2);
    const auto contacted = directory.targets(cells, 1, false);
    cr_assert(contacted.size() == 1 && std::find(others.begin(), others.end(), contacted[0]) != others.end());
}

// Guards against the address of a dead gateway that directories name to each other for ever, each with a new
// age.
Test(cell_directory, addresses_at_second_hand_are_not_passed_on)
{
    const fleet_cells cells = cells_of("self", 4);
    cell_directory directory("self", {});
    const auto others = others_of("self", 4, 1);
    const cell_id cell = cells.cell_of(others[0]);
    directory.learn(cells, others, start);
    cr_assert(directory.introductions(cells, cell, 1).empty());
    directory.take(digest_from(others[0]), start);
    cr_assert(directory.introductions(cells, cell, 1) == others);
}

Test(cell_directory, removes_silent_gateways_and_those_that_joined_its_cell)
{
    const auto others = others_of("self", 4, 1);
    cell_directory directory("self", {});
    directory.take(digest_from(others[0]), start);
    const duration timeout = cell_directory::round_length * (cell_directory::rounds_until_expiry * 4);
    directory.expire(cells_of("self", 4), start + timeout);
    cr_assert(directory.size() == 1);
    directory.expire(cells_of("self", 4), start + timeout + 1ms);
    cr_assert(directory.size() == 0);
    directory.take(digest_from(others[0]), start);
    directory.expire(cells_of("self", 1), start);
    cr_assert(directory.size() == 0);
}

// Guards against a cell with old records: if none of its gateways can read the source, changes come from a
// gateway of another cell that was heard lately.
Test(cell_directory, records_are_fetched_from_a_gateway_of_another_cell)
{
    const auto others = others_of("self", 4, 2);
    cell_directory directory("self", {});
    directory.take(digest_from(others[0], 5), start);
    directory.take(digest_from(others[1], 9), start);
    cr_assert(directory.has_newer(8) && !directory.has_newer(9));
    cr_assert(directory.select_newer(8, 0, start) == others[1]);
    cr_assert(!directory.select_newer(9, 0, start));
    cr_assert(!directory.select_newer(8, 0, start + peer_table::peer_timeout + 1ms), "it may be gone");
}
