#include "dragonflymill/serve/link_schedule.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

constexpr instant start{1'000s};
constexpr auto small = length_class::interactive;
constexpr auto large = length_class::bulk;
constexpr duration step = 10ms;
const heartbeat_options times;

/// A link whose sidecar answers each heartbeat at the next step, unless the connection is silent.
class link_world
{
public:
    link_world() { run(1s); }

    /// Lets time pass.
    void run(duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += step;
            note(schedule.tick(now));
        }
    }

    instant now = start;
    link_schedule schedule{start, times};
    std::array<bool, length_class_count> silent{};
    std::uint64_t heartbeats = 0;
    std::array<std::uint64_t, length_class_count> heartbeats_on{};
    std::vector<length_class> given_up;
    upstream_state state = upstream_state::suspect;

private:
    void note(const link_actions& due)
    {
        heartbeats += due.heartbeat.size();
        given_up.insert(given_up.end(), due.replace.begin(), due.replace.end());
        given_up.insert(given_up.end(), due.close.begin(), due.close.end());
        state = due.state.value_or(state);
        for (const auto size : due.heartbeat) {
            ++heartbeats_on[index_of(size)];
            if (!silent[index_of(size)]) {
                schedule.received(now, size);
            }
        }
    }
};

} // namespace

Test(link_schedule, an_idle_link_sends_nothing_and_stays_alive)
{
    link_world world;
    cr_assert(world.heartbeats == 1, "the connection shows life once");
    world.run(1h);
    cr_assert(world.heartbeats == 1 && world.state == upstream_state::alive && world.given_up.empty());
}

Test(link_schedule, tokens_spare_heartbeats_but_for_the_renewal)
{
    link_world world;
    const auto before = world.heartbeats;
    world.schedule.set_in_flight(world.now, small, 1, true);
    for (duration passed{0}; passed < 60s; passed += 50ms) {
        world.run(50ms);
        world.schedule.received(world.now, small);
    }
    cr_assert(world.heartbeats - before == 4, "one each 15 s of a minute, not 120");
}

FAULT_CELL(request_dispatch, connection_silent)
{
    // A prompt is put and nothing ever comes back, while other callers are served by the same upstream.
    // Order: something on the way forgets one of the connections while it is idle; a try goes out on it.
    // Cause: an idle connection carries no heartbeats, so the first work on it has to find out.
    link_world world;
    world.schedule.opened(world.now, large);
    world.run(60s);
    world.silent[index_of(large)] = true;
    world.schedule.set_in_flight(world.now, large, 1, true);
    world.run(times.silence_timeout());
    cr_assert(world.given_up.empty(), "it has its time");
    world.run(2 * step);
    cr_assert(world.given_up == std::vector<length_class>(1, large));
    world.run(1s);
    cr_assert(world.state == upstream_state::alive, "the other connection answers");
}

FAULT_CELL(request_stream, connection_silent)
{
    // An answer stops in the middle for good. Order: tokens come, then the connection goes silent.
    // Cause: it stays open. The gateway notices within the patience from the last word, and the work that it
    // has on another connection goes on.
    link_world world;
    world.schedule.set_in_flight(world.now, small, 1, true);
    world.run(200ms);
    const auto last = world.now;
    world.schedule.received(last, small);
    world.silent[index_of(small)] = true;
    while (world.given_up.empty()) {
        world.run(step);
        cr_assert(world.now <= last + times.silence_timeout() + 2 * step, "too late");
    }
    cr_assert(world.state == upstream_state::suspect, "nobody else vouches for it");
    world.silent[index_of(small)] = false;
    world.run(times.interval + 2 * step);
    cr_assert(world.state == upstream_state::alive, "the new connection works");
}

FAULT_CELL_MORE(request_stream, connection_silent, renewal_with_it)
{
    // A caller's answer is cut off although its connection works. Order: the last renewal went out on
    // another connection of the link, which has gone silent; permits at the sidecar end.
    // Cause: what was said on a connection that is given up counts for nothing.
    link_world world;
    world.schedule.opened(world.now, large);
    world.run(1s);
    world.schedule.set_in_flight(world.now, large, 1, true);
    const auto streaming = [&](duration time) {
        for (duration passed{0}; passed < time; passed += 50ms) {
            world.run(50ms);
            world.schedule.received(world.now, large);
        }
    };
    streaming(1s);
    world.silent[index_of(small)] = true;
    world.schedule.set_in_flight(world.now, small, 1, true);
    const auto before = world.heartbeats_on[index_of(large)];
    streaming(times.silence_timeout() + 100ms);
    cr_assert(world.given_up == std::vector<length_class>(1, small));
    streaming(times.interval);
    cr_assert(world.heartbeats_on[index_of(large)] == before + 1, "it renews on the one that works");
}

FAULT_CELL(ticket_send, connection_silent)
{
    // A booking is neither refused for nothing nor lost. Order: the connection was idle for an hour; a call
    // that may not be repeated asks for proof; a heartbeat goes out at once, and its answer proves it.
    // Cause: an idle connection shows no life by itself. On a silent one the proof never comes.
    link_world world;
    world.run(1h);
    cr_assert(!world.schedule.recently_alive(world.now, small));
    world.schedule.request_heartbeat(world.now, small);
    world.run(step);
    cr_assert(world.schedule.recently_alive(world.now, small));
    world.run(1h);
    world.silent[index_of(small)] = true;
    world.schedule.request_heartbeat(world.now, small);
    world.run(times.silence_timeout() + 2 * step);
    cr_assert(!world.schedule.recently_alive(world.now, small) && !world.given_up.empty());
}

FAULT_CELL_MORE(request_dispatch, process_dies, dead_upstreams_are_asked_seldom)
{
    // A hundred upstreams are gone and a gateway's control traffic does not rise above what it is in a good
    // hour. Order: the connection breaks, the upstream is suspect at once, dead after the patience; it is
    // asked each two seconds, and comes back when it answers. Cause: a failure domain was lost.
    link_world world;
    world.silent[index_of(small)] = true;
    world.schedule.disconnected(world.now, small);
    world.run(step);
    cr_assert(world.state == upstream_state::suspect);
    world.run(times.silence_timeout() + step);
    cr_assert(world.state == upstream_state::dead);
    const auto before = world.heartbeats;
    world.run(60s);
    cr_assert(world.heartbeats - before <= 31);
    world.silent[index_of(small)] = false;
    world.run(3s);
    cr_assert(world.state == upstream_state::alive);
}
