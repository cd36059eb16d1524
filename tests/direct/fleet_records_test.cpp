#include "dragonflymill/core/random_source.h"
#include "dragonflymill/direct/fleet_records.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto written(const std::string& key, std::uint64_t revision) -> fleet_record
{
    return {key, "v" + std::to_string(revision), revision, false};
}

auto removed(const std::string& key, std::uint64_t revision) -> fleet_record
{
    return {key, "", revision, true};
}

} // namespace

// Guards against restoring a revoked API key: a peer that has not received the change sends its older copy
// after the newer one was applied.
Test(fleet_records, ignores_a_copy_older_than_the_known_one)
{
    fleet_records records;
    cr_assert(records.apply(written("config", 7)));
    cr_assert(!records.apply(written("config", 5)));
    cr_assert(!records.apply(written("config", 7)));
    cr_assert(records.all().at("config").value == "v7");
}

// Two gateways receive the same changes from different sources: late, twice and in any order. If their
// records differed, they would send the same caller to different services.
Test(fleet_records, converges_for_any_order_of_the_same_changes)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        std::vector<fleet_record> changes;
        for (std::uint64_t revision = 1; revision <= 30; ++revision) {
            const std::string key = "k" + std::to_string(random.below(5));
            changes.push_back(random.chance(0.3) ? removed(key, revision) : written(key, revision));
        }
        fleet_records in_order;
        for (const auto& change : changes) {
            (void)in_order.apply(change);
        }
        fleet_records shuffled;
        std::vector<fleet_record> mixed = changes;
        mixed.insert(mixed.end(), changes.begin(), changes.end());
        for (std::size_t i = mixed.size(); i > 1; --i) {
            std::swap(mixed[i - 1], mixed[random.below(i)]);
        }
        for (const auto& change : mixed) {
            (void)shuffled.apply(change);
        }
        cr_assert(in_order.all() == shuffled.all(), "seed %llu", static_cast<unsigned long long>(seed));
    }
}

// Guards against sending calls to an upstream that has left: a starting gateway lists the source and then
// receives the response of a lagging peer that still contains the upstream, which the listing lacks.
Test(fleet_records, does_not_restore_a_record_missing_from_a_newer_listing)
{
    fleet_records records;
    (void)records.apply(records_update{{written("a", 1)}, 9, true});
    const auto changes = records.apply(records_update{{written("a", 1), written("gone", 5)}, 6, true});
    cr_assert(changes.empty());
    cr_assert(!records.all().contains("gone"));
    cr_assert(records.apply(written("new", 10)), "a record newer than the listing is applied");
}

// When the history of changes is lost, absence from the new listing is the only sign that an upstream left.
Test(fleet_records, removes_records_missing_from_a_complete_listing)
{
    fleet_records records;
    (void)records.apply(records_update{{written("a", 1), written("b", 2)}, 2, true});
    const auto changes = records.apply(records_update{{written("a", 1)}, 9, true});
    cr_assert(changes.size() == 1 && changes.front().key == "b" && changes.front().removed);
    cr_assert(records.revision() == 9);
}

// An upstream that registers while the pages of a listing are read is newer than the listing and must be
// kept.
Test(fleet_records, keeps_records_newer_than_a_listing)
{
    fleet_records records;
    (void)records.apply(written("late", 12));
    const auto changes = records.apply(records_update{{written("a", 1)}, 9, true});
    cr_assert(changes.size() == 1 && changes.front().key == "a");
    cr_assert(!records.all().at("late").removed);
}

Test(fleet_records, sends_a_peer_its_missing_changes_including_removals)
{
    fleet_records records;
    (void)records.apply(records_update{{written("a", 1), written("b", 2)}, 2, true});
    (void)records.apply(records_update{{removed("a", 3), written("c", 4)}, 4, false});
    fleet_records other;
    (void)other.apply(records_update{{written("a", 1), written("b", 2)}, 2, true});
    (void)other.apply(records.since(other.revision()));
    cr_assert(other.all() == records.all());
    cr_assert(other.revision() == 4);
}

// Guards against a difference that lacks a removal: a gateway lists the source after an upstream has left and
// never knew that upstream. A peer that missed the removal would send work to the upstream from then on.
Test(fleet_records, sends_the_complete_list_for_changes_before_its_own_listing)
{
    fleet_records behind;
    (void)behind.apply(records_update{{written("left", 5), written("stays", 6)}, 16, true});
    fleet_records fresh;
    (void)fresh.apply(records_update{{written("stays", 6), written("new", 19)}, 21, true});
    const auto changes = behind.apply(fresh.since(behind.revision()));
    cr_assert(behind.all().at("left").removed);
    cr_assert(changes.size() == 2);
    cr_assert(behind.revision() == 21);
}

// Guards against stale upstreams after a long partition: the tombstones of that time have been dropped, so a
// difference would not remove them.
Test(fleet_records, sends_the_complete_list_to_a_peer_that_is_too_far_behind)
{
    fleet_records records;
    (void)records.apply(records_update{{written("stays", 1)}, 1, true});
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i <= fleet_records::max_tombstones; ++i) {
        (void)records.apply(removed("gone" + std::to_string(i), ++revision));
    }
    records.advance(revision);
    const auto extract = records.since(1);
    cr_assert(extract.whole);
    cr_assert(extract.records.size() == 1);
    cr_assert(!records.since(revision - 1).whole);
}
