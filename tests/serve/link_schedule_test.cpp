#include "dragonflymill/serve/link_schedule.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

constexpr instant start{1'000s};
constexpr auto small = length_class::interactive;
constexpr auto large = length_class::bulk;
constexpr duration step = 10ms;
const heartbeat_options options;

/// Simulates a link whose sidecar answers each heartbeat at once, unless the connection is silent.
class link_simulation
{
public:
    link_simulation() { run(1s); }

    /// Advances the time by `time` in steps.
    void run(duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += step;
            apply(schedule.tick(now));
        }
    }

    instant now = start;
    link_schedule schedule{start, options};
    std::array<bool, length_class_count> silent{};
    std::uint64_t heartbeats = 0;
    std::array<std::uint64_t, length_class_count> heartbeats_on{};
    std::vector<length_class> closed;
    upstream_state state = upstream_state::suspect;

private:
    void apply(const link_actions& due)
    {
        heartbeats += due.heartbeat.size();
        closed.insert(closed.end(), due.replace.begin(), due.replace.end());
        closed.insert(closed.end(), due.close.begin(), due.close.end());
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

Test(link_schedule, idle_link_sends_no_heartbeats_and_stays_alive)
{
    link_simulation link;
    cr_assert(link.heartbeats == 1, "expected one heartbeat after opening");
    link.run(1h);
    cr_assert(link.heartbeats == 1 && link.state == upstream_state::alive && link.closed.empty());
}

Test(link_schedule, received_tokens_replace_heartbeats_except_for_renewals)
{
    link_simulation link;
    const auto before = link.heartbeats;
    link.schedule.set_in_flight(link.now, small, 1, true);
    for (duration passed{0}; passed < 60s; passed += 50ms) {
        link.run(50ms);
        link.schedule.received(link.now, small);
    }
    cr_assert(link.heartbeats - before == 4, "expected one heartbeat per 15 s renewal interval");
}

FAULT_CELL(request_dispatch, connection_silent)
{
    // Guards against an attempt that waits for good on a dead connection while others are served by the same
    // upstream. A network device drops the state of an idle connection and an attempt is sent on it. An idle
    // connection carries no heartbeats, so the first work on it has to detect the loss.
    link_simulation link;
    link.schedule.opened(link.now, large);
    link.run(60s);
    link.silent[index_of(large)] = true;
    link.schedule.set_in_flight(link.now, large, 1, true);
    link.run(options.silence_timeout());
    cr_assert(link.closed.empty(), "closed before the silence timeout");
    link.run(2 * step);
    cr_assert(link.closed == std::vector<length_class>(1, large));
    link.run(1s);
    cr_assert(link.state == upstream_state::alive, "the other connection still answers");
}

FAULT_CELL(request_stream, connection_silent)
{
    // Guards against an answer that stalls for good. Tokens are received, then the connection goes silent but
    // stays open. The gateway detects it within the silence timeout after the last message.
    link_simulation link;
    link.schedule.set_in_flight(link.now, small, 1, true);
    link.run(200ms);
    const auto last = link.now;
    link.schedule.received(last, small);
    link.silent[index_of(small)] = true;
    while (link.closed.empty()) {
        link.run(step);
        cr_assert(link.now <= last + options.silence_timeout() + 2 * step, "closed too late");
    }
    cr_assert(link.state == upstream_state::suspect, "no other connection shows the upstream alive");
    link.silent[index_of(small)] = false;
    link.run(options.interval + 2 * step);
    cr_assert(link.state == upstream_state::alive, "the new connection works");
}

FAULT_CELL_MORE(request_stream, connection_silent, renewal_with_it)
{
    // Guards against permits that expire at the sidecar although the connection of their streams works. The
    // last renewal was sent on another connection of the link, which has gone silent. A renewal on a
    // connection that was closed must not count.
    link_simulation link;
    link.schedule.opened(link.now, large);
    link.run(1s);
    link.schedule.set_in_flight(link.now, large, 1, true);
    const auto streaming = [&](duration time) {
        for (duration passed{0}; passed < time; passed += 50ms) {
            link.run(50ms);
            link.schedule.received(link.now, large);
        }
    };
    streaming(1s);
    link.silent[index_of(small)] = true;
    link.schedule.set_in_flight(link.now, small, 1, true);
    const auto before = link.heartbeats_on[index_of(large)];
    streaming(options.silence_timeout() + 100ms);
    cr_assert(link.closed == std::vector<length_class>(1, small));
    streaming(options.interval);
    cr_assert(link.heartbeats_on[index_of(large)] == before + 1,
              "expected a renewal on the working connection");
}

FAULT_CELL(ticket_send, connection_silent)
{
    // Guards against a booking that is lost on a dead connection or refused on a working one. After an hour
    // without traffic, a call that may not be repeated requests a heartbeat, and only its answer shows that
    // the connection is alive. On a silent connection the answer never comes.
    link_simulation link;
    link.run(1h);
    cr_assert(!link.schedule.recently_alive(link.now, small));
    link.schedule.request_heartbeat(link.now, small);
    link.run(step);
    cr_assert(link.schedule.recently_alive(link.now, small));
    link.run(1h);
    link.silent[index_of(small)] = true;
    link.schedule.request_heartbeat(link.now, small);
    link.run(options.silence_timeout() + 2 * step);
    cr_assert(!link.schedule.recently_alive(link.now, small) && !link.closed.empty());
}

FAULT_CELL_MORE(request_dispatch, process_dies, dead_upstreams_are_asked_seldom)
{
    // Guards against control traffic that rises when a failure domain with a hundred upstreams is lost. The
    // connection breaks, the upstream is suspect at once and dead after the silence timeout. It is then
    // probed every two seconds and is alive again once it answers.
    link_simulation link;
    link.silent[index_of(small)] = true;
    link.schedule.disconnected(link.now, small);
    link.run(step);
    cr_assert(link.state == upstream_state::suspect);
    link.run(options.silence_timeout() + step);
    cr_assert(link.state == upstream_state::dead);
    const auto before = link.heartbeats;
    link.run(60s);
    cr_assert(link.heartbeats - before <= 31);
    link.silent[index_of(small)] = false;
    link.run(3s);
    cr_assert(link.state == upstream_state::alive);
}
