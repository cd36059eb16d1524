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

Test(peer_table, learns_addresses_from_the_digests_of_peers)
{
    peer_table table("self", "self:7340", {"seed:7340"});
    cr_assert(table.targets() == std::vector<std::string>{"seed:7340"});
    peer_digest first = digest_of("seed");
    first.peers = {"other:7340", "self:7340"};
    cr_assert(table.take(first, start));
    cr_assert(contains(table.targets(), "other:7340"));
    cr_assert(!contains(table.targets(), "self:7340"), "a gateway does not send to itself");
    cr_assert(table.gateways() == 2);
}

Test(peer_table, removes_a_peer_after_the_timeout)
{
    peer_table table("self", "self:7340", {});
    (void)table.take(digest_of("p"), start);
    cr_assert(table.expire_peers(start + peer_table::peer_timeout).empty());
    cr_assert(table.expire_peers(start + peer_table::peer_timeout + 1ms) == std::vector<std::string>{"p"});
    cr_assert(table.gateways() == 1);
}

Test(peer_table, ignores_a_digest_older_than_the_last_one)
{
    peer_table table("self", "self:7340", {});
    peer_digest newer = digest_of("p", 5);
    newer.revision = 9;
    (void)table.take(newer, start);
    (void)table.take(digest_of("p", 4), start);
    cr_assert(table.select_newer_peer(8)->revision == 9);
    cr_assert(!table.select_newer_peer(9));
}

// Guards against two parts of a partitioned fleet that each take the whole of a shared limit: a peer that
// fell silent without draining may be partitioned and counts until it is replaced.
Test(peer_table, silent_peer_still_shares_limits)
{
    peer_table table("self", "self:7340", {"seed:7340"});
    cr_assert(table.reach(start, false) == (gateway_reach{1, 1, 0}));
    cr_assert(table.reach(start, true).known == 2, "a seed that has not been heard yet");
    (void)table.take(digest_of("p"), start);
    peer_digest leaving = digest_of("q");
    leaving.leaving = true;
    (void)table.take(leaving, start);
    cr_assert(table.reach(start, false).reachable == 3 && table.reach(start, false).known == 3);
    cr_assert(table.reach(start + 2s, false).reachable == 1);
    (void)table.expire_peers(start + 4s);
    cr_assert(table.reach(start + 4s, false).known == 2, "the one that drained is gone");
    peer_digest restarted = digest_of("p#2");
    restarted.address = "p:7340";
    (void)table.take(restarted, start + 5s);
    cr_assert(table.reach(start + 5s, false).known == 2, "a restart at the same address");
    (void)table.expire_peers(start + 9s);
    (void)table.expire_peers(start + 9s + peer_table::lost_peer_retention + 1ms);
    cr_assert(table.reach(start + 2h, false).known == 1);
}

// Guards against counting a gateway twice that is killed and restarts at its address within a second: each
// gateway's share of the shared limits would be too small.
Test(peer_table, a_restarted_gateway_replaces_the_old_process)
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

// Guards against the calls of a killed gateway that count at their upstreams for ever: the process that
// restarts at its address is heard before the old one has been silent for long enough.
Test(peer_table, a_replaced_process_is_reported_as_gone)
{
    peer_table table("self", "self:7340", {});
    peer_digest old = digest_of("p#1");
    old.address = "p:7340";
    peer_digest fresh = digest_of("p#2");
    fresh.address = "p:7340";
    (void)table.take(old, start);
    (void)table.take(fresh, start + 1s);
    cr_assert(table.expire_peers(start + 1s) == std::vector<std::string>{"p#1"});
    cr_assert(table.expire_peers(start + 2s).empty());
    cr_assert(table.gateways() == 2);
}

// The record source may refuse some hosts, and a large fleet would overload it. A few gateways read it for
// all, and another one takes over when one of them stops sending digests or cannot read the source.
Test(peer_table, a_few_gateways_read_the_source_and_others_take_over)
{
    int readers = 0;
    constexpr int fleet = 12;
    for (int self = 0; self < fleet; ++self) {
        peer_table table("g" + std::to_string(self), "x", {});
        for (int peer = 0; peer < fleet; ++peer) {
            (void)table.take(digest_of("g" + std::to_string(peer)), start);
        }
        readers += table.must_read_source(start) ? 1 : 0;
        cr_assert(table.must_read_source(start + peer_table::source_reader_timeout + 1ms),
                  "no peer has sent a digest");
    }
    cr_assert(readers == peer_table::source_readers, "%d", readers);
}

Test(peer_table, does_not_rely_on_peers_that_cannot_read_the_source)
{
    const auto table_with = [](int unable_peers) {
        peer_table table("self", "x", {});
        for (int peer = 0; peer < unable_peers; ++peer) {
            peer_digest unable = digest_of("g" + std::to_string(peer));
            unable.reads_source = false;
            (void)table.take(unable, start);
        }
        return table;
    };
    peer_table small = table_with(peer_table::takeover_batch - 1);
    cr_assert(small.must_read_source(start), "at once in a small fleet");
    constexpr int many = 20;
    peer_table large = table_with(many);
    (void)large.must_read_source(start);
    cr_assert(
        large.must_read_source(start + peer_table::takeover_interval * (many / peer_table::takeover_batch)),
        "at the latest with the last batch");
}

Test(upstream_health, increases_the_backoff_with_each_loss)
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

// Guards against failing all waiting calls together on an upstream that has not recovered: after the backoff,
// a single call probes it.
Test(upstream_health, probes_a_lost_upstream_with_one_call_at_a_time)
{
    upstream_health health;
    health.lost("u", start);
    const instant later = start + upstream_health::first_pause;
    cr_assert(!health.suspect("u", 0, later));
    cr_assert(health.suspect("u", 1, later));
    health.record_success("u");
    cr_assert(!health.suspect("u", 1, later));
}

// A service that fails one call in seven for reasons of its own does not make its upstream suspect.
Test(upstream_health, tolerates_isolated_failures)
{
    upstream_health health;
    for (int call = 0; call < 700; ++call) {
        call % 7 == 0 ? health.failed("u", start) : health.record_success("u");
        cr_assert(!health.suspect("u", 0, start), "call %d", call);
    }
    for (int call = 0; call < 4; ++call) {
        health.failed("u", start);
    }
    cr_assert(health.suspect("u", 0, start), "several consecutive failures make it suspect");
}

Test(upstream_health, a_full_upstream_is_suspect_only_briefly)
{
    upstream_health health;
    health.full("u", start);
    cr_assert(health.suspect("u", 0, start));
    cr_assert(!health.suspect("u", 5, start + upstream_health::full_pause));
}

// Guards against overloading one peer when a whole fleet restarts: if all gateways fetched the configuration
// from the first peer that has it, most requests would time out and be repeated.
Test(peer_table, gateways_select_different_peers_with_the_same_revision)
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

// Guards against stale upstreams while a configuration of half a megabyte is fetched: twenty gateways asked
// the peer with the newest revision, its link took three seconds, and until then calls went to draining
// engines.
Test(peer_table, gateways_select_different_peers_with_different_revisions)
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
    cr_assert(large >= 20, "%d of 40 select a large one", large);
}

// Pattern: the readers of a fleet of n, 2n and 4n gateways are lost at once. Guards against a fleet that then
// reads the source as a whole: gateways take over in batches of a constant size.
Test(peer_table, gateways_take_over_for_lost_readers_in_batches)
{
    for (const int fleet : {106, 212, 424}) {
        int first = 0;
        int second = 0;
        int last = 0;
        for (int self = 0; self < fleet; ++self) {
            peer_table table("g" + std::to_string(self), "x", {});
            for (int peer = 0; peer < fleet; ++peer) {
                peer_digest digest = digest_of("g" + std::to_string(peer));
                digest.reads_source = false;
                (void)table.take(digest, start);
            }
            first += table.must_read_source(start) ? 1 : 0;
            second += table.must_read_source(start + peer_table::takeover_interval) ? 1 : 0;
            last += table.must_read_source(start + fleet * peer_table::takeover_interval) ? 1 : 0;
        }
        cr_assert(first == peer_table::takeover_batch, "%d", first);
        cr_assert(second == 2 * peer_table::takeover_batch, "%d", second);
        cr_assert(last == fleet, "none of them can read");
    }
}

// Guards against checking all peers for newer records at each datagram: after a peer with newer records has
// gone, the table notices that none is left.
Test(peer_table, no_peer_is_newer_once_the_newest_has_gone)
{
    peer_table table("self", "x", {});
    peer_digest newest = digest_of("p");
    newest.revision = 7;
    (void)table.take(newest, start);
    cr_assert(table.has_newer_peer(6) && !table.has_newer_peer(7));
    (void)table.expire_peers(start + 1min);
    cr_assert(!table.select_newer_peer(6));
    cr_assert(!table.has_newer_peer(6));
}

// Guards against small gateways as source readers: their links take a second to send a large configuration,
// so the other gateways' fetches time out and start again.
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
