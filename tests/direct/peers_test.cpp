#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/upstream_health.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

auto digest_of(const std::string& name, std::uint64_t sequence = 1) -> peer_digest
{
    return {name, sequence, name + ":7340", 0, false, true, {}, "", 0, false, false, false};
}

auto contains(const std::vector<std::string>& list, const std::string& text) -> bool
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

Test(peer_table, a_peer_is_found_by_hearsay)
{
    peer_table table("self", "self:7340", {"seed:7340"});
    cr_assert(table.targets(start) == std::vector<std::string>{"seed:7340"});
    peer_digest first = digest_of("seed");
    first.peers = {"other:7340", "self:7340"};
    cr_assert(table.take(first, start));
    cr_assert(contains(table.targets(start), "other:7340"));
    cr_assert(!contains(table.targets(start), "self:7340"), "a gateway doesn't write to itself");
    cr_assert(table.gateways() == 2);
}

Test(peer_table, a_silent_peer_is_forgotten)
{
    peer_table table("self", "self:7340", {});
    (void)table.take(digest_of("p"), start);
    cr_assert(table.expire_peers(start + peer_table::silence_limit).empty());
    cr_assert(table.expire_peers(start + peer_table::silence_limit + 1ms) == std::vector<std::string>{"p"});
    cr_assert(table.gateways() == 1);
}

Test(peer_table, a_digest_that_was_overtaken_is_left_out)
{
    peer_table table("self", "self:7340", {});
    peer_digest newer = digest_of("p", 5);
    newer.revision = 9;
    (void)table.take(newer, start);
    (void)table.take(digest_of("p", 4), start);
    cr_assert(table.select_newer_peer(8)->revision == 9);
    cr_assert(!table.select_newer_peer(9));
}

// A gateway is killed and starts again at its address within a second: counted twice, it would halve what
// everybody may take of the shared bounds.
Test(peer_table, a_new_start_replaces_the_old_one)
{
    peer_table table("self", "self:7340", {});
    peer_digest old = digest_of("p#1");
    old.address = "p:7340";
    peer_digest fresh = digest_of("p#2");
    fresh.address = "p:7340";
    (void)table.take(old, start);
    cr_assert(table.take(fresh, start));
    cr_assert(table.gateways() == 2);
}

// The source of records refuses some hosts or dies under the reads of a large fleet. A few gateways read it
// for all, and another one steps in as soon as one of them falls silent or can't read.
Test(peer_table, a_few_gateways_read_the_source_and_others_step_in)
{
    int readers = 0;
    constexpr int fleet = 12;
    for (int self = 0; self < fleet; ++self) {
        peer_table table("g" + std::to_string(self), "x", {});
        for (int peer = 0; peer < fleet; ++peer) {
            (void)table.take(digest_of("g" + std::to_string(peer)), start);
        }
        readers += table.must_read_source(start) ? 1 : 0;
        cr_assert(table.must_read_source(start + peer_table::reader_silence + 1ms), "nobody is heard");
    }
    cr_assert(readers == peer_table::source_readers, "%d", readers);
}

Test(peer_table, a_peer_that_can_not_read_is_not_relied_on)
{
    peer_table table("self", "x", {});
    for (int peer = 0; peer < 20; ++peer) {
        peer_digest blind = digest_of("g" + std::to_string(peer));
        blind.reads_source = false;
        (void)table.take(blind, start);
    }
    cr_assert(table.must_read_source(start));
}

Test(upstream_health, an_upstream_that_was_lost_is_left_alone_for_longer_each_time)
{
    upstream_health health;
    health.lost("u", start);
    cr_assert(health.suspect("u", 0, start + upstream_health::first_pause - 1ms));
    cr_assert(!health.suspect("u", 0, start + upstream_health::first_pause));
    const instant again = start + 1s;
    health.lost("u", again);
    cr_assert(health.suspect("u", 0, again + upstream_health::first_pause));
    cr_assert(!health.suspect("u", 0, again + upstream_health::longest_pause));
}

// A crashed upstream is back, perhaps. One call tries it; had all waiting calls gone there at once, all would
// fail together if it isn't.
Test(upstream_health, one_call_at_a_time_tries_it_again)
{
    upstream_health health;
    health.lost("u", start);
    const instant later = start + upstream_health::first_pause;
    cr_assert(!health.suspect("u", 0, later));
    cr_assert(health.suspect("u", 1, later));
    health.record_success("u");
    cr_assert(!health.suspect("u", 1, later));
}

// A service refuses one look-up in seven for reasons of its own: that is no fault of the upstream.
Test(upstream_health, usual_failures_do_not_count)
{
    upstream_health health;
    for (int call = 0; call < 700; ++call) {
        call % 7 == 0 ? health.failed("u", start) : health.record_success("u");
        cr_assert(!health.suspect("u", 0, start), "call %d", call);
    }
    for (int call = 0; call < 4; ++call) {
        health.failed("u", start);
    }
    cr_assert(health.suspect("u", 0, start), "several in a row do");
}

Test(upstream_health, a_full_upstream_is_sound)
{
    upstream_health health;
    health.full("u", start);
    cr_assert(health.suspect("u", 0, start));
    cr_assert(!health.suspect("u", 5, start + upstream_health::full_pause));
}

// A whole fleet starts again and most gateways learn the configuration from others. All asked the first of
// those that had it; while it answered one after the other, the others ran out of time and asked it again.
Test(peer_table, gateways_ask_different_peers_that_know_the_same)
{
    std::set<std::string> asked;
    for (int own = 0; own < 20; ++own) {
        peer_table table("gateway-" + std::to_string(own), "10.0.1.1:1", {});
        for (int i = 0; i < 10; ++i) {
            const std::string name = "peer-" + std::to_string(i);
            (void)table.take({name,
                              1,
                              "10.0.0." + std::to_string(i) + ":1",
                              7,
                              false,
                              true,
                              {},
                              "",
                              0,
                              false,
                              false,
                              false},
                             instant(1s));
        }
        asked.insert(table.select_newer_peer(3)->gateway);
        std::set<std::string> again;
        for (std::uint64_t attempt = 0; attempt < 10; ++attempt) {
            again.insert(table.select_newer_peer(3, attempt)->gateway);
        }
        cr_assert(again.size() >= 4, "%zu", again.size());
    }
    cr_assert(asked.size() >= 6, "%zu", asked.size());
}

// A configuration of half a megabyte changes while engines begin to leave. Twenty gateways all asked the one
// that knew most, whose link took three seconds for it; calls went to the leaving engines until then.
Test(peer_table, gateways_ask_different_peers_that_know_different_changes)
{
    std::set<std::string> asked;
    int large = 0;
    for (int own = 0; own < 40; ++own) {
        peer_table table("gateway-" + std::to_string(own), "self:7340", {});
        for (unsigned i = 0; i < 10; ++i) {
            peer_digest digest = digest_of("peer-" + std::to_string(i));
            digest.revision = 10U + i;
            digest.millicores = i < 2 ? 900 : 90;
            (void)table.take(digest, start);
        }
        const std::string peer = table.select_newer_peer(9)->gateway;
        asked.insert(peer);
        large += peer == "peer-0" || peer == "peer-1" ? 1 : 0;
    }
    cr_assert(asked.size() >= 4, "%zu", asked.size());
    cr_assert(large >= 20, "%d of 40 ask a large one", large);
}

// The gateways that read the source first hand were small ones, whose links took a second to pass a large
// configuration on: each gateway's fetch ran into its limit, and all began anew.
Test(peer_table, large_gateways_read_the_source)
{
    const auto reads = [](const std::string& self, int millicores) {
        peer_table table(self, self + ":7340", {}, millicores);
        for (int i = 0; i < 6; ++i) {
            peer_digest digest = digest_of("large-" + std::to_string(i));
            digest.millicores = 500;
            digest.reads_source = true;
            (void)table.take(digest, start);
        }
        return table.must_read_source(start);
    };
    for (int i = 0; i < 20; ++i) {
        cr_assert(!reads("small-" + std::to_string(i), 90));
    }
    cr_assert(reads("largest", 900));
}
