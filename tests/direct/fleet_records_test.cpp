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

// A caller's key was taken away, and this gateway serves it again: a peer that had not heard of the change
// handed its older copy over after the newer one had come.
Test(fleet_records, an_older_copy_never_replaces_a_newer_one)
{
    fleet_records records;
    cr_assert(records.apply(written("config", 7)));
    cr_assert(!records.apply(written("config", 5)));
    cr_assert(!records.apply(written("config", 7)));
    cr_assert(records.all().at("config").value == "v7");
}

// The same changes reach two gateways over different sources, late, twice and in any order. Both must end
// with the same records, or they would send the same caller to different services.
Test(fleet_records, any_order_of_the_same_changes_ends_the_same)
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

// A gateway starts, lists the source, and then gets the answer of a peer that it had asked before and that
// lags: an upstream which left in between is in the peer's copy and not in the listing. Taken for news, it
// got calls for as long as the gateway ran.
Test(fleet_records, an_older_copy_does_not_bring_back_what_a_listing_lacks)
{
    fleet_records records;
    (void)records.apply(records_update{{written("a", 1)}, 9, true});
    const auto news = records.apply(records_update{{written("a", 1), written("gone", 5)}, 6, true});
    cr_assert(news.empty());
    cr_assert(!records.all().contains("gone"));
    cr_assert(records.apply(written("new", 10)), "what is newer than the listing is news");
}

// An upstream left while the history was lost. The new listing doesn't name it, and that is the only sign.
Test(fleet_records, what_a_whole_listing_lacks_is_gone)
{
    fleet_records records;
    (void)records.apply(records_update{{written("a", 1), written("b", 2)}, 2, true});
    const auto news = records.apply(records_update{{written("a", 1)}, 9, true});
    cr_assert(news.size() == 1 && news.front().key == "b" && news.front().removed);
    cr_assert(records.revision() == 9);
}

// An upstream registers while pages of a listing are read: it is newer than the listing and must stay.
Test(fleet_records, what_is_newer_than_a_listing_stays)
{
    fleet_records records;
    (void)records.apply(written("late", 12));
    const auto news = records.apply(records_update{{written("a", 1)}, 9, true});
    cr_assert(news.size() == 1 && news.front().key == "a");
    cr_assert(!records.all().at("late").removed);
}

Test(fleet_records, a_peer_gets_what_it_lacks_removals_included)
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

// A gateway starts and lists the source after an upstream has left; it never heard of that upstream. A peer
// that missed the removal asks it for what changed: a difference would lack the removal and yet count as
// complete, and the peer would send work to the upstream that left for as long as it ran.
Test(fleet_records, a_process_that_has_listed_knows_no_removal_from_before)
{
    fleet_records behind;
    (void)behind.apply(records_update{{written("left", 5), written("stays", 6)}, 16, true});
    fleet_records fresh;
    (void)fresh.apply(records_update{{written("stays", 6), written("new", 19)}, 21, true});
    const auto news = behind.apply(fresh.since(behind.revision()));
    cr_assert(behind.all().at("left").removed);
    cr_assert(news.size() == 2);
    cr_assert(behind.revision() == 21);
}

// A gateway was cut off for so long that removals of that time are forgotten everywhere: a difference would
// leave it with upstreams that are gone, so it gets the whole list.
Test(fleet_records, a_peer_that_is_too_far_behind_gets_the_whole_list)
{
    fleet_records records;
    (void)records.apply(records_update{{written("stays", 1)}, 1, true});
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i <= fleet_records::max_removed; ++i) {
        (void)records.apply(removed("gone" + std::to_string(i), ++revision));
    }
    records.advance(revision);
    const auto extract = records.since(1);
    cr_assert(extract.whole);
    cr_assert(extract.records.size() == 1);
    cr_assert(!records.since(revision - 1).whole);
}
