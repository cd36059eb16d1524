#include "dragonflymill/order/order_tracker.h"

#include "support/fault_cell.h"
#include "support/virtual_time.h"

using namespace dragonflymill;
using dragonflymill::test::at;

namespace {

const model_id old_model("m-1");
const model_id new_model("m-2");
constexpr std::uint32_t start = 1'000;

auto options() -> order_tracker_options
{
    order_tracker_options result;
    result.start_seconds = start;
    result.load_jitter = 0s;
    return result;
}

auto wanted(std::uint64_t version, std::vector<model_id> models) -> declared_engine
{
    return {bundle_version(version), std::move(models), {}, engine_role::both};
}

auto view(duration asked, std::vector<model_id> models, std::uint64_t fence = 0) -> engine_view
{
    return {at(asked), incarnation(1), std::move(models), {}, engine_role::both, fencing_number(fence)};
}

auto alone(duration seen) -> replica_view
{
    return {at(seen), 1, 0, 0, true};
}

auto order_of(const order_step& step) -> std::optional<engine_order>
{
    const auto* order = std::get_if<engine_order>(&step);
    return order == nullptr ? std::nullopt : std::optional(*order);
}

auto waits(const order_step& step, order_wait why) -> bool
{
    const auto* wait = std::get_if<order_wait>(&step);
    return wait != nullptr && *wait == why;
}

/// Returns a tracker with a lease, a bundle of version 1 that declares `new_model`, and an engine without
/// models.
auto ready_tracker() -> order_tracker
{
    order_tracker tracker(options(), 1);
    tracker.declare(at(0s), wanted(1, {new_model}));
    tracker.engine_state_received(view(5s, {}));
    tracker.replicas(new_model, alone(5s));
    tracker.renew_own_lease(at(1'000s));
    return tracker;
}

} // namespace

Test(order_tracker, reconciles_an_engine_one_order_at_a_time)
{
    order_tracker tracker = ready_tracker();
    tracker.declare(at(1s), {bundle_version(2), {new_model}, {adapter_id("a")}, engine_role::prefill});
    tracker.replicas(new_model, alone(5s));
    engine_view now_is = view(5s, {});
    for (const order_kind kind : {order_kind::set_role, order_kind::load_model, order_kind::load_adapter}) {
        const auto order = order_of(tracker.next(now_is.asked));
        cr_assert(order && order->kind == kind);
        cr_assert(tracker.sending(now_is.asked, *order));
        cr_assert(waits(tracker.next(now_is.asked), order_wait::answer));
        tracker.answered(now_is.asked, order_result::done);
        cr_assert(waits(tracker.next(now_is.asked), order_wait::no_view));
        now_is.asked += 1s;
        now_is.role = engine_role::prefill;
        now_is.models = kind == order_kind::set_role ? std::vector<model_id>{} : std::vector{new_model};
        now_is.adapters =
            kind == order_kind::load_adapter ? std::vector{adapter_id("a")} : std::vector<adapter_id>{};
        now_is.fence = order->fence;
        tracker.engine_state_received(now_is);
    }
    cr_assert(waits(tracker.next(now_is.asked), order_wait::in_force));
    cr_assert(tracker.engine_fences());
}

Test(order_tracker, unloads_models_no_longer_declared_first)
{
    order_tracker tracker = ready_tracker();
    tracker.engine_state_received(view(6s, {old_model}));
    tracker.replicas(old_model, {at(6s), 0, 0, 0, false});
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(order && order->kind == order_kind::unload_model && order->model == old_model);
}

Test(order_tracker, the_same_inputs_give_the_same_order)
{
    order_tracker one = ready_tracker();
    order_tracker other = ready_tracker();
    cr_assert(one.next(at(6s)) == other.next(at(6s)));
}

Test(order_tracker, exactly_one_replica_loads_last)
{
    const std::vector<upstream_id> all{upstream_id("e1"), upstream_id("e2"), upstream_id("e3")};
    int last = 0;
    for (const upstream_id& self : all) {
        last += last_to_load(self, new_model, all) ? 1 : 0;
    }
    cr_assert(last == 1);
}

FAULT_CELL(order_give, process_dies)
{
    // A sidecar crashes right after an order, which its successor does not know. The successor waits until
    // the old lease has expired, reads the engine, and orders only what is missing.
    order_tracker successor(options(), 2);
    successor.declare(at(0s), wanted(1, {new_model}));
    successor.renew_own_lease(at(1'000s));
    successor.engine_state_received(view(1s, {new_model}));
    cr_assert(waits(successor.next(at(1s)), order_wait::predecessor),
              "no order while the predecessor may send one");
    cr_assert(waits(successor.next(at(5s)), order_wait::in_force));
}

FAULT_CELL(order_give, paused_wakes_late)
{
    // A sidecar is paused between deciding on an order and sending it, and a successor takes over. The engine
    // ignores fencing numbers, so only the lease check just before sending prevents the old order.
    order_tracker tracker = ready_tracker();
    tracker.renew_own_lease(at(8s));
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(order);
    cr_assert(!tracker.sending(at(60s), *order), "the old sidecar reverts its successor's orders");
    cr_assert(waits(tracker.next(at(60s)), order_wait::no_own_lease));
}

FAULT_CELL(order_give, config_stale)
{
    // A sidecar with a stale bundle reads an engine that has received the orders of a newer one. It must send
    // no order and never exceed the newer bundle's fencing number.
    order_tracker tracker = ready_tracker();
    const std::uint64_t newer = (7ULL << 32U) | 5U;
    tracker.engine_state_received(view(6s, {}, newer));
    cr_assert(waits(tracker.next(at(6s)), order_wait::superseded));
    cr_assert(tracker.fence().value() < newer);
    tracker.declare(at(7s), wanted(7, {new_model}));
    tracker.replicas(new_model, alone(7s));
    cr_assert(order_of(tracker.next(at(7s)))->fence.value() > newer);
}

FAULT_CELL_MORE(order_give, config_stale, older_bundle)
{
    // An older bundle arrives late from a peer. The declared state must not revert.
    order_tracker tracker = ready_tracker();
    tracker.declare(at(1s), wanted(5, {new_model}));
    const fencing_number before = tracker.fence();
    tracker.declare(at(2s), wanted(4, {old_model}));
    cr_assert(tracker.fence() == before);
    tracker.replicas(new_model, alone(5s));
    cr_assert(order_of(tracker.next(at(6s)))->model == new_model);
}

FAULT_CELL(order_give, clock_jump)
{
    // The predecessor's clock was ahead, so its fencing number is higher than the successor's. After the wait
    // for its lease the successor uses a higher number; otherwise the engine would reject every order for as
    // long as the clock was wrong.
    order_tracker successor = ready_tracker();
    const std::uint64_t ahead = (1ULL << 32U) | (start + 50U);
    successor.engine_state_received(view(6s, {}, ahead));
    cr_assert(order_of(successor.next(at(6s)))->fence.value() == ahead + 1);
}

FAULT_CELL(order_give, message_doubled)
{
    // The request to send an order is duplicated, as by a retry inside the daemon. Only one order may be in
    // flight.
    order_tracker tracker = ready_tracker();
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *order));
    cr_assert(!tracker.sending(at(6s), *order));
}

FAULT_CELL(order_give, two_faults)
{
    // The weight store is over its rate limit, and all replicas of a model have stale views that show none
    // loading. If all loaded at once, the model would have no replica; one of them must wait for the others.
    std::uint32_t loading = 0;
    const std::vector<upstream_id> all{upstream_id("e1"), upstream_id("e2"), upstream_id("e3")};
    for (const upstream_id& self : all) {
        order_tracker tracker = ready_tracker();
        tracker.replicas(new_model, {at(5s), 3, 0, 0, last_to_load(self, new_model, all)});
        loading += order_of(tracker.next(at(6s))) ? 1 : 0;
    }
    cr_assert(loading == 2);
}

FAULT_CELL(order_give, same_twice)
{
    // Two successive bundles unload the same model. The replica whose requests no other can serve is kept
    // until another one has loaded the model.
    order_tracker tracker = ready_tracker();
    tracker.engine_state_received(view(6s, {old_model}));
    tracker.replicas(old_model, {at(6s), 2, 0, 1, false});
    cr_assert(waits(tracker.next(at(6s)), order_wait::others_loading));
    tracker.declare(at(7s), wanted(2, {new_model}));
    cr_assert(waits(tracker.next(at(7s)), order_wait::others_loading));
    tracker.replicas(old_model, {at(8s), 2, 1, 0, false});
    cr_assert(order_of(tracker.next(at(8s)))->kind == order_kind::unload_model);
}

FAULT_CELL(order_apply, message_lost)
{
    // The answer to an order is lost. The order times out, the tracker reads the engine, finds the model
    // loaded, and does not send the order again.
    order_tracker tracker = ready_tracker();
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *order));
    cr_assert(waits(tracker.next(at(65s)), order_wait::answer));
    cr_assert(waits(tracker.next(at(67s)), order_wait::no_view));
    tracker.engine_state_received(view(70s, {new_model}));
    cr_assert(waits(tracker.next(at(75s)), order_wait::in_force));
}

FAULT_CELL(order_apply, message_late)
{
    // An engine state requested before the order arrives after the order's answer. It must not cause the same
    // order again; the tracker waits for a later state.
    order_tracker tracker = ready_tracker();
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *order));
    tracker.answered(at(10s), order_result::done);
    tracker.engine_state_received(view(9s, {}));
    cr_assert(waits(tracker.next(at(11s)), order_wait::no_view));
    tracker.engine_state_received(view(11s, {new_model}));
    tracker.engine_state_received(view(9s, {}));
    cr_assert(waits(tracker.next(at(12s)), order_wait::in_force));
}

FAULT_CELL(order_apply, upstream_cold)
{
    // The engine restarts without its models. They are loaded again, with a fencing number that has not
    // decreased although the engine has lost it.
    order_tracker tracker = ready_tracker();
    const auto first = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *first));
    tracker.answered(at(7s), order_result::done);
    tracker.engine_state_received(view(8s, {new_model}, first->fence.value()));
    cr_assert(waits(tracker.next(at(8s)), order_wait::in_force));
    engine_view restarted = view(10s, {});
    restarted.start = incarnation(2);
    tracker.engine_state_received(restarted);
    tracker.replicas(new_model, alone(10s));
    const auto again = order_of(tracker.next(at(10s)));
    cr_assert(again && again->fence >= first->fence);
}

FAULT_CELL(order_apply, paused_wakes_late)
{
    // An engine that supports fencing rejects an old sidecar's order. The sidecar is superseded and must send
    // no further order, although its lease appears live.
    order_tracker tracker = ready_tracker();
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *order));
    tracker.answered(at(7s), order_result::fenced);
    tracker.engine_state_received(view(8s, {}));
    cr_assert(tracker.superseded());
    cr_assert(waits(tracker.next(at(500s)), order_wait::superseded));
}

FAULT_CELL(order_apply, message_reordered)
{
    // A successor's order overtakes the old sidecar's. The old one reads the higher fencing number and must
    // stop; if it used a higher number itself, the two would override each other forever.
    order_tracker tracker = ready_tracker();
    const auto order = order_of(tracker.next(at(6s)));
    cr_assert(tracker.sending(at(6s), *order));
    tracker.answered(at(7s), order_result::done);
    tracker.engine_state_received(view(9s, {}, order->fence.value() + 30));
    cr_assert(waits(tracker.next(at(9s)), order_wait::superseded));
    cr_assert(tracker.fence() == order->fence);
}

FAULT_CELL(order_apply, same_twice)
{
    // The weight store denies permits for a while. The order is retried with exponential backoff and jitter,
    // so that the sidecars do not retry at once and together.
    order_tracker tracker = ready_tracker();
    instant now = at(6s);
    std::vector<duration> gaps;
    for (int i = 0; i < 5; ++i) {
        const auto order = order_of(tracker.next(now));
        cr_assert(order);
        cr_assert(tracker.sending(now, *order));
        tracker.answered(now, order_result::rate_limit);
        const instant refused = now;
        while (!order_of(tracker.next(now))) {
            now += 100ms;
            tracker.engine_state_received(
                {now, incarnation(1), {}, {}, engine_role::both, fencing_number(0)});
            tracker.replicas(new_model, {now, 1, 0, 0, true});
        }
        gaps.push_back(now - refused);
    }
    cr_assert(gaps.back() > gaps.front() * 4);
}
