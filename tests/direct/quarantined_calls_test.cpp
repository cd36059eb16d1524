#include "dragonflymill/direct/attempt_rules.h"
#include "dragonflymill/direct/call_dispatcher.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);
constexpr prompt_part bad = make_prompt_part(20, false);

/// A dispatcher before two upstreams; three others have crashed under calls with the part `bad`.
struct quarantined_fleet
{
    quarantined_fleet()
    {
        fleet_config::parts parts;
        parts.version = 1;
        parts.services = {{"answers", 50, 3s, 10.0, std::nullopt}};
        fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
        for (const char* id : {"u0", "u1"}) {
            upstream_entry entry;
            entry.id = id;
            entry.service = "answers";
            entry.slots = 8;
            fleet.take(std::string("k") + id, entry, start);
        }
        for (const upstream_run crashed : {1, 2, 3}) {
            dispatcher.quarantine().evidence().record_lost_call({crashed, {bad}},
                                                                start - 4s + 1s * static_cast<int>(crashed));
        }
        dispatcher.quarantine().set_gateways("g0", {}, false);
    }

    [[nodiscard]] auto decide(std::uint64_t id, prompt_parts parts, instant now = start) -> dispatch_round
    {
        waiting_call call;
        call.id = id;
        call.service = "answers";
        call.prompt_parts = std::move(parts);
        call.latency_target_at = now + 100ms;
        call.aim = 100ms;
        call.client_timeout_at = now + 1500ms;
        call.deadline_at = now + 1500ms;
        call.queue_timeout_at = now + 200ms;
        dispatcher.add(call);
        return dispatcher.decide(fleet, now);
    }

    upstream_list fleet;
    call_dispatcher dispatcher{{"a", {0.2, 10.0, 10s}, 1}};
};

} // namespace

// Guards against a hopeless call that is held, sent or refused with a wrong time to come back.
Test(quarantined_calls, are_refused_at_once)
{
    quarantined_fleet world;
    const dispatch_round round = world.decide(1, {bad});
    cr_assert(round.orders.empty() && round.refusals.size() == 1);
    cr_assert(round.refusals[0].code == refusal_code::quarantined);
    cr_assert(round.refusals[0].retry_after > 9min && round.refusals[0].retry_after <= 10min);
    cr_assert(world.dispatcher.waiting() == 0);
    cr_assert(world.decide(2, {make_prompt_part(30, false)}).orders.size() == 1);
    cr_assert(world.decide(3, {}).orders.size() == 1);
}

// Guards against a queued call whose part is quarantined while it waits, also without a configuration.
Test(quarantined_calls, that_wait_are_refused)
{
    quarantined_fleet world;
    world.fleet = upstream_list();
    cr_assert(world.decide(1, {bad}).refusals.size() == 1);
}

// Guards against several trials in one round.
Test(quarantined_calls, are_sent_as_trials_one_at_a_time)
{
    quarantined_fleet world;
    world.dispatcher.quarantine().set_gateways("g0", {}, true);
    const instant now = start + 2s;
    const dispatch_round round = world.decide(1, {bad}, now);
    cr_assert(round.orders.size() == 1 && round.orders[0].is_quarantine_trial);
    cr_assert(world.decide(2, {bad}, now).refusals.size() == 1);
    world.dispatcher.quarantine().evidence().record_answer({bad}, now + 300ms);
    const dispatch_round cleared = world.decide(3, {bad}, now + 400ms);
    cr_assert(cleared.orders.size() == 1 && !cleared.orders[0].is_quarantine_trial);
}

// Guards against a call that two upstreams have ended under and that is sent to a third one.
Test(quarantined_calls, are_not_sent_to_a_third_upstream_after_two_have_ended)
{
    request_progress state;
    state.repeatable = true;
    state.budget_left = true;
    state.time_left = 1s;
    state.max_attempts = 5;
    state.attempts_run = state.disconnects = 1;
    cr_assert(decide_next_step(attempt_end::disconnected, state) == next_step::try_again);
    state.attempts_run = state.disconnects = 2;
    cr_assert(decide_next_step(attempt_end::disconnected, state) == next_step::fail_unknown);
    call_attempts attempts;
    attempts.ended(attempt_end::disconnected, {"u0", "a"}, start);
    attempts.ended(attempt_end::broken, {"u1", "a"}, start);
    cr_assert(attempts.disconnects() == 1 && attempts.run() == 2);
}
