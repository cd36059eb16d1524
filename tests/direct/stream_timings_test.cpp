#include "dragonflymill/direct/stream_timings.h"

#include <criterion/criterion.h>
#include <functional>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr duration iteration = 50ms;
constexpr stream_engine engine{7, 70};
constexpr instant start{1h};

/// A gateway that reads streams of one engine with a given work.
struct reader
{
    upstream_speeds speeds;
    stream_timings timings{speeds};
    engine_work work{iteration, 0ms};
    int asked = 0;
    instant now = start;
    std::function<engine_work(const stream_engine&)> source = [this](const stream_engine& /*of*/) {
        ++asked;
        return work;
    };

    /// Lets a stream receive events.
    void events(placement_id placed, duration pause, int count)
    {
        for (int event = 0; event < count; ++event) {
            now += pause;
            timings.event(placed, now, source);
        }
    }
};

} // namespace

// Guards against summing up the loads of all gateways for each event of each stream.
Test(stream_timings, normal_events_ask_for_no_load)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    gateway.events(1, iteration, 20);
    cr_assert_leq(gateway.asked, 1, "once a second for the iteration");
    cr_assert(!gateway.speeds.is_slow(engine.run, gateway.now));
    cr_assert(gateway.speeds.source_of(engine.run, gateway.now) == speed_source::observed);
}

// Guards against an engine that turns slow under streams that this gateway already reads.
Test(stream_timings, slow_events_are_learned)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    gateway.events(1, iteration, 3);
    gateway.events(1, 5 * iteration, 2);
    cr_assert_float_eq(gateway.speeds.slowdown(engine.run, gateway.now), 5.0, 0.01);
}

// Guards against an engine that counts as slow because it prefills prompts between the events.
Test(stream_timings, intervals_that_prefill_explains_are_no_evidence)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    gateway.events(1, iteration, 1);
    gateway.work.pending_prefill = 200ms;
    gateway.events(1, 5 * iteration, 4);
    cr_assert(!gateway.speeds.is_slow(engine.run, gateway.now));
    cr_assert(!gateway.speeds.has_doubt(engine.run, gateway.now));
    gateway.events(1, 5 * (iteration + 200ms), 2);
    cr_assert(gateway.speeds.is_slow(engine.run, gateway.now), "five times longer than the prefill too");
}

// Guards against an engine that counts as slow for a prefill whose end has just been taken out of the load.
Test(stream_timings, prefill_that_has_just_ended_belongs_to_the_interval)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    for (int prompt = 0; prompt < 4; ++prompt) {
        gateway.timings.prefill_ended(engine.key, 200ms, gateway.now + 249ms);
        gateway.events(1, 250ms, 1);
    }
    cr_assert(!gateway.speeds.is_slow(engine.run, gateway.now));
    cr_assert(!gateway.speeds.has_doubt(engine.run, gateway.now));
    gateway.events(1, 250ms, 2);
    cr_assert(gateway.speeds.is_slow(engine.run, gateway.now), "it counts for one interval only");
}

// Guards against waiting for an event of an engine that hangs.
Test(stream_timings, silence_is_reported)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    for (int check = 1; check <= 4; ++check) {
        gateway.timings.check_silence(start + check * 100ms, gateway.source);
    }
    cr_assert(gateway.speeds.is_slow(engine.run, start + 400ms));
}

// Guards against a gateway that was paused, and takes its unread events for the silence of all engines.
Test(stream_timings, silence_during_a_pause_of_the_gateway_is_no_evidence)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    gateway.timings.check_silence(start + 25ms, gateway.source);
    gateway.timings.check_silence(start + 5s, gateway.source);
    cr_assert(!gateway.speeds.is_slow(engine.run, start + 5s));
    cr_assert(!gateway.speeds.has_doubt(engine.run, start + 5s));
}

// Guards against a slow client, for which a gateway stops reading, making an engine slow.
Test(stream_timings, discarded_intervals_are_no_evidence)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    for (int event = 0; event < 3; ++event) {
        gateway.timings.discard_interval(1);
        gateway.timings.check_silence(gateway.now + 900ms, gateway.source);
        gateway.events(1, 1s, 1);
    }
    cr_assert(!gateway.speeds.is_slow(engine.run, gateway.now));
    gateway.events(1, 5 * iteration, 2);
    cr_assert(gateway.speeds.is_slow(engine.run, gateway.now), "only the interval is discarded");
}

// Guards against streams that are measured for ever, or that are silent because they have ended.
Test(stream_timings, ended_streams_are_forgotten)
{
    reader gateway;
    gateway.timings.begin(1, engine, gateway.work, start);
    gateway.timings.finished(1);
    gateway.timings.finished(2);
    gateway.events(1, 5 * iteration, 3);
    gateway.timings.check_silence(gateway.now + 1s, gateway.source);
    gateway.timings.check_silence(gateway.now + 2s, gateway.source);
    cr_assert_eq(gateway.timings.open(), 0);
    cr_assert(!gateway.speeds.is_slow(engine.run, gateway.now));
    cr_assert_eq(gateway.asked, 0);
}
