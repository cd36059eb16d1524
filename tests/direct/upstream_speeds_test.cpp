#include "dragonflymill/direct/upstream_speeds.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <limits>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr duration iteration = 20ms;
constexpr duration slow_iteration = 5 * iteration;
constexpr upstream_run engine = 1;
constexpr instant start{1h};

/// Lets a stream receive `events` events, each `pause` after the last; returns when the last one came.
auto stream(upstream_speeds& speeds, upstream_run upstream, duration pause, int events, instant now)
    -> instant
{
    for (int event = 0; event < events; ++event) {
        now += pause;
        speeds.observe_interval(upstream, pause, iteration, now);
    }
    return now;
}

/// Passes on the changes of one gateway after a version to another; returns their number.
auto pass_on(const upstream_speeds& from, const std::string& name, upstream_speeds& to, instant now,
             std::uint64_t since = 0) -> std::size_t
{
    const auto reports = from.reports(now, since);
    for (const slowdown_report& report : reports) {
        (void)to.apply_report(name, report, now);
    }
    return reports.size();
}

/// Gateways with a stream at each of the upstreams, a quarter of which is slow. Returns the reports that they
/// send in two seconds.
auto reports_sent(int gateways, upstream_run upstreams) -> std::size_t
{
    constexpr duration step = 10ms;
    std::vector<upstream_speeds> all(static_cast<std::size_t>(gateways));
    std::vector<std::uint64_t> sent(all.size());
    std::size_t reports = 0;
    for (duration at = step; at <= 2s; at += step) {
        for (std::size_t gateway = 0; gateway < all.size(); ++gateway) {
            for (upstream_run upstream = 0; upstream < upstreams; ++upstream) {
                const duration pause = upstream % 4 == 0 ? slow_iteration : iteration;
                if ((at + gateway * step) % pause == 0s) {
                    all[gateway].observe_interval(upstream, pause, iteration, start + at);
                }
            }
        }
        for (std::size_t gateway = 0; gateway < all.size() && at % 30ms == 0s; ++gateway) {
            reports += all[gateway].reports(start + at, sent[gateway]).size();
            for (std::size_t other = 0; other < all.size(); ++other) {
                if (other != gateway) {
                    (void)pass_on(all[gateway], "g" + std::to_string(gateway), all[other], start + at,
                                  sent[gateway]);
                }
            }
            sent[gateway] = all[gateway].version();
        }
    }
    return reports;
}

} // namespace

// Guards against prompts for an engine that has turned five times slower, and whose streams show it.
Test(upstream_speeds, two_slow_intervals_are_learned)
{
    upstream_speeds speeds;
    instant now = stream(speeds, engine, iteration, 5, start);
    now = stream(speeds, engine, slow_iteration, 2, now);
    cr_assert_float_eq(speeds.slowdown(engine, now), 5.0, 0.01);
    cr_assert(speeds.source_of(engine, now) == speed_source::observed);
    cr_assert(!speeds.has_doubt(engine, now), "nothing is left to be settled");
}

// Guards against a seventh of the engines turning five times slower, with two streams at each.
Test(upstream_speeds, a_slow_seventh_is_learned_within_a_second)
{
    upstream_speeds speeds;
    for (duration at = 1ms; at <= 1s; at += 1ms) {
        for (upstream_run upstream = 0; upstream < 70; ++upstream) {
            const duration pause = upstream % 7 == 0 ? slow_iteration : iteration;
            for (const duration offset : {0ms, 3ms}) {
                if ((at - offset) % pause == 0s) {
                    speeds.observe_interval(upstream, pause, iteration, start + at);
                }
            }
        }
    }
    const auto slow = speeds.slow_upstreams(start + 1s);
    cr_assert(slow.size() == 10, "%zu are slow", slow.size());
    cr_assert(std::all_of(slow.begin(), slow.end(), [](upstream_run upstream) { return upstream % 7 == 0; }));
}

// Guards against an engine avoided for a lost packet: one long interval, then all delayed events at once.
Test(upstream_speeds, delayed_delivery_is_no_evidence)
{
    upstream_speeds speeds;
    instant now = stream(speeds, engine, iteration, 5, start);
    now = stream(speeds, engine, 10 * iteration, 1, now);
    cr_assert(!speeds.is_slow(engine, now) && speeds.has_doubt(engine, now));
    now = stream(speeds, engine, 1ms, 9, now);
    now = stream(speeds, engine, iteration, 1, now);
    cr_assert(!speeds.is_slow(engine, now) && !speeds.has_doubt(engine, now));
    cr_assert(speeds.reports(now).empty());
}

// Guards against one pause, caused by a prompt that this gateway wasn't told of, counting once per stream.
Test(upstream_speeds, one_pause_of_several_streams_is_one_interval)
{
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, iteration, 5, start) + 300ms;
    for (int other = 0; other < 4; ++other) {
        speeds.observe_interval(engine, 300ms, iteration, now + other * 1ms);
    }
    cr_assert(!speeds.is_slow(engine, now) && speeds.has_doubt(engine, now));
}

// Guards against an engine avoided for one bad connection, while its other streams advance.
Test(upstream_speeds, a_connection_slower_than_the_others_is_no_evidence)
{
    upstream_speeds speeds;
    for (duration at = iteration; at <= 2s; at += iteration) {
        if (at % 200ms == 0s) {
            speeds.observe_silence(engine, 190ms, iteration, start + at - 10ms);
            speeds.observe_interval(engine, 200ms, iteration, start + at);
        }
        speeds.observe_interval(engine, iteration, iteration, start + at);
        cr_assert(!speeds.is_slow(engine, start + at) && !speeds.has_doubt(engine, start + at));
    }
}

// Guards against waiting for the end of an interval that may never end.
Test(upstream_speeds, a_lasting_silence_is_evidence)
{
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, slow_iteration, 1, start);
    speeds.observe_silence(engine, 3 * iteration, iteration, now + 3 * iteration);
    cr_assert_float_eq(speeds.slowdown(engine, now + 3 * iteration), 3.0, 0.01, "after a first interval");

    upstream_speeds others;
    others.observe_silence(engine, 3 * iteration, iteration, start);
    cr_assert(!others.is_slow(engine, start) && others.has_doubt(engine, start));
    others.observe_silence(engine, 6 * iteration, iteration, start + 3 * iteration);
    cr_assert(others.is_slow(engine, start + 3 * iteration), "alone");
}

// Guards against a belief that falls at the beginning of each interval of a slow engine.
Test(upstream_speeds, a_short_silence_keeps_what_is_known)
{
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, slow_iteration, 3, start);
    const std::uint64_t version = speeds.version();
    speeds.observe_silence(engine, 2 * iteration, iteration, now + 2 * iteration);
    cr_assert_gt(speeds.slowdown(engine, now + 2 * iteration), 4.5);
    cr_assert(speeds.version() == version && !speeds.has_doubt(engine, now + 2 * iteration));
}

// Guards against a gateway that is slow itself, avoids all engines and warns the others of them.
Test(upstream_speeds, slowness_of_most_upstreams_is_the_gateways_own)
{
    upstream_speeds speeds;
    for (duration at = slow_iteration; at <= 1s; at += slow_iteration) {
        for (upstream_run upstream = 0; upstream < 20; ++upstream) {
            speeds.observe_interval(upstream, slow_iteration, iteration, start + at);
        }
    }
    const instant now = start + 1s;
    cr_assert(speeds.slow_upstreams(now).empty());
    cr_assert(speeds.reports(now).empty());
    speeds.observe_stated(7, 4.0, now);
    cr_assert(speeds.slow_upstreams(now) == std::vector<upstream_run>{7}, "a statement needs no measuring");
    cr_assert(speeds.reports(now).size() == 1);
}

// Guards against an engine that is avoided although it has recovered.
Test(upstream_speeds, the_first_normal_interval_ends_a_slowdown)
{
    upstream_speeds speeds;
    upstream_speeds peer;
    instant now = stream(speeds, engine, slow_iteration, 3, start);
    cr_assert(pass_on(speeds, "g1", peer, now) == 1);
    cr_assert(peer.is_slow(engine, now) && peer.source_of(engine, now) == speed_source::peer);
    const std::uint64_t before = speeds.version();
    now = stream(speeds, engine, iteration, 1, now);
    cr_assert(!speeds.is_slow(engine, now));
    cr_assert(pass_on(speeds, "g1", peer, now, before) == 1);
    cr_assert(!peer.is_slow(engine, now), "peers unlearn it too");
}

// Guards against gateways that avoid an engine on the word of one that no longer uses it, while a third one
// sees that it has recovered.
Test(upstream_speeds, any_gateway_tells_of_a_recovery)
{
    upstream_speeds third;
    upstream_speeds fourth;
    const slowdown_report slow{engine, 5.0, 0ms};
    (void)third.apply_report("g1", slow, start);
    (void)fourth.apply_report("g1", slow, start);
    const instant now = stream(third, engine, iteration, 15, start);
    cr_assert(!third.is_slow(engine, now));
    cr_assert(pass_on(third, "g3", fourth, now) == 1);
    cr_assert(!fourth.is_slow(engine, now));
}

// Guards against a gateway whose wrong word, repeated, closes engines that this gateway sees running.
Test(upstream_speeds, a_wrong_peer_is_outweighed_by_own_intervals)
{
    upstream_speeds speeds;
    for (duration at = iteration; at <= 5s; at += iteration) {
        speeds.observe_interval(engine, iteration, iteration, start + at);
        if (at % 100ms == 0s) {
            (void)speeds.apply_report("wrong", {engine, 8.0, 0ms}, start + at + 10ms);
        }
        cr_assert(!speeds.is_slow(engine, start + at + 10ms));
    }
    cr_assert_leq(speeds.version(), 11, "contradicted at most once in a refresh interval");
}

// Guards against peers' words that are older than what is known, or that nothing can be made of.
Test(upstream_speeds, old_and_malformed_reports_are_ignored)
{
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, iteration, 5, start);
    cr_assert(!speeds.apply_report("g1", {engine, 5.0, 150ms}, now), "older than own evidence");
    cr_assert(!speeds.apply_report("g1", {2, 5.0, -1ms}, now));
    cr_assert(!speeds.apply_report("g1", {2, 5.0, upstream_speeds::max_age + 1ms}, now));
    cr_assert(!speeds.apply_report("g1", {2, 0.2, 0ms}, now));
    cr_assert(!speeds.apply_report("g1", {2, std::numeric_limits<double>::quiet_NaN(), 0ms}, now));
    cr_assert(!speeds.apply_report("g1", {2, std::numeric_limits<double>::infinity(), 0ms}, now));
    cr_assert(speeds.slow_upstreams(now).empty());
    cr_assert(speeds.apply_report("g1", {2, 1e9, 0ms}, now));
    cr_assert_eq(speeds.slowdown(2, now), upstream_speeds::max_slowdown);
    cr_assert(!speeds.apply_report("g1", {2, 1.0, 100ms}, now), "overtaken by a newer one of its gateway");
}

// Guards against the word of a lost gateway that stays, and hides what others have said.
Test(upstream_speeds, reports_end_with_their_gateway)
{
    upstream_speeds speeds;
    (void)speeds.apply_report("g1", {engine, 3.0, 400ms}, start);
    (void)speeds.apply_report("g2", {engine, 6.0, 0ms}, start);
    cr_assert_eq(speeds.slowdown(engine, start), 6.0);
    speeds.remove_gateway("g2");
    cr_assert_lt(speeds.slowdown(engine, start), 3.0);
    cr_assert(speeds.is_slow(engine, start), "g1 still says so");
    speeds.remove_gateway("g1");
    cr_assert(!speeds.is_slow(engine, start));
    cr_assert(!speeds.newest_evidence(engine));
}

// Guards against a restarted engine that is avoided for what its earlier run was.
Test(upstream_speeds, knowledge_ends_with_the_run)
{
    constexpr upstream_run restarted = 2;
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, slow_iteration, 2, start);
    cr_assert_eq(speeds.slowdown(restarted, now), 1.0);
    speeds.expire({restarted}, now);
    cr_assert(!speeds.is_slow(engine, now) && speeds.reports(now).empty());
}

// Guards against an engine that is avoided, so that nobody sees its recovery, for ever.
Test(upstream_speeds, a_slowdown_fades_without_new_evidence)
{
    upstream_speeds speeds;
    const instant now = stream(speeds, engine, slow_iteration, 2, start);
    cr_assert_float_eq(speeds.slowdown(engine, now + upstream_speeds::half_life), 3.0, 0.01);
    cr_assert(!speeds.is_slow(engine, now + 5s));
    cr_assert_eq(speeds.slowdown(engine, now + upstream_speeds::max_age + 1ms), 1.0);
    cr_assert(speeds.source_of(engine, now + upstream_speeds::max_age + 1ms) == speed_source::none);
    speeds.expire({engine}, now + upstream_speeds::max_age + 1ms);
    cr_assert(!speeds.newest_evidence(engine));
}

// Guards against measured intervals that outlast what the engine itself has stated since.
Test(upstream_speeds, a_statement_replaces_older_evidence)
{
    upstream_speeds speeds;
    instant now = stream(speeds, engine, slow_iteration, 2, start);
    speeds.observe_stated(engine, 1.0, now + 1ms);
    cr_assert(!speeds.is_slow(engine, now + 1ms));
    cr_assert(speeds.source_of(engine, now + 1ms) == speed_source::stated);
    speeds.observe_stated(engine, 3.0, now);
    cr_assert(!speeds.is_slow(engine, now + 1ms), "older than the one that is known");
    now = stream(speeds, engine, slow_iteration, 1, now + 1ms);
    cr_assert(speeds.has_doubt(engine, now), "a doubt since the statement");
    speeds.observe_stated(engine, std::numeric_limits<double>::quiet_NaN(), now);
    cr_assert(!speeds.is_slow(engine, now) && !speeds.has_doubt(engine, now));
    speeds.observe_stated(engine, 3.0, now + 1ms);
    cr_assert_eq(speeds.slowdown(engine, now + 1ms), 3.0);
}

// Guards against a slowdown that lasts but fades at the peers, and against telling them all the time.
Test(upstream_speeds, a_lasting_slowdown_is_reported_at_an_interval)
{
    upstream_speeds speeds;
    const std::uint64_t before = speeds.version();
    (void)stream(speeds, engine, slow_iteration, 51, start);
    const std::uint64_t announced = speeds.version() - before;
    cr_assert(announced >= 9 && announced <= 11, "%d in five seconds", static_cast<int>(announced));
}

// Guards against reports that grow with the product of gateways and upstreams.
Test(upstream_speeds, reports_grow_with_the_slow_upstreams_alone)
{
    const std::size_t base = reports_sent(4, 16);
    cr_assert_gt(base, 0);
    for (const upstream_run factor : {2U, 4U}) {
        const std::size_t upstreams = reports_sent(4, 16 * factor);
        cr_assert_leq(upstreams, base * factor, "%zu, %zu with %zu times the upstreams", base, upstreams,
                      static_cast<std::size_t>(factor));
    }
    for (const int factor : {2, 4}) {
        const std::size_t gateways = reports_sent(4 * factor, 16);
        cr_assert_leq(gateways, 2 * base, "%zu, %zu with %d times the gateways", base, gateways, factor);
    }
}

// Guards against digests that exceed a datagram when hundreds of upstreams are slow.
Test(upstream_speeds, reports_of_a_digest_are_bounded)
{
    upstream_speeds speeds;
    for (upstream_run upstream = 0; upstream < 600; ++upstream) {
        speeds.observe_stated(upstream, 5.0, start + upstream * 1ms);
    }
    const auto reports = speeds.reports(start + 600ms);
    cr_assert_eq(reports.size(), upstream_speeds::max_reports);
    cr_assert_eq(reports.front().upstream, 599, "the newest come first");
}
