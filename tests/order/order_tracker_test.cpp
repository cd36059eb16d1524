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

/// A keeper with a lease, a bundle of version 1 that wants `new_model`, and an engine that has nothing.
auto ready_keeper() -> order_tracker
{
    order_tracker keeper(options(), 1);
    keeper.declare(at(0s), wanted(1, {new_model}));
    keeper.engine_state_received(view(5s, {}));
    keeper.replicas(new_model, alone(5s));
    keeper.renew_own_lease(at(1'000s));
    return keeper;
}

} // namespace

Test(order_tracker, brings_an_engine_to_what_is_declared_one_order_at_a_time)
{
    order_tracker keeper = ready_keeper();
    keeper.declare(at(1s), {bundle_version(2), {new_model}, {adapter_id("a")}, engine_role::prefill});
    keeper.replicas(new_model, alone(5s));
    engine_view now_is = view(5s, {});
    for (const order_kind kind : {order_kind::set_role, order_kind::load_model, order_kind::load_adapter}) {
        const auto order = order_of(keeper.next(now_is.asked));
        cr_assert(order && order->kind == kind);
        cr_assert(keeper.sending(now_is.asked, *order));
        cr_assert(waits(keeper.next(now_is.asked), order_wait::answer));
        keeper.answered(now_is.asked, order_result::done);
        cr_assert(waits(keeper.next(now_is.asked), order_wait::no_view));
        now_is.asked += 1s;
        now_is.role = engine_role::prefill;
        now_is.models = kind == order_kind::set_role ? std::vector<model_id>{} : std::vector{new_model};
        now_is.adapters =
            kind == order_kind::load_adapter ? std::vector{adapter_id("a")} : std::vector<adapter_id>{};
        now_is.fence = order->fence;
        keeper.engine_state_received(now_is);
    }
    cr_assert(waits(keeper.next(now_is.asked), order_wait::in_force));
    cr_assert(keeper.engine_fences());
}

Test(order_tracker, what_is_not_declared_any_more_goes_first)
{
    order_tracker keeper = ready_keeper();
    keeper.engine_state_received(view(6s, {old_model}));
    keeper.replicas(old_model, {at(6s), 0, 0, 0, false});
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(order && order->kind == order_kind::unload_model && order->model == old_model);
}

Test(order_tracker, same_inputs_same_orders)
{
    order_tracker one = ready_keeper();
    order_tracker other = ready_keeper();
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
    // A sidecar dies right after an order; its successor doesn't know what was ordered. It waits out the old
    // one's lease, reads the engine, and orders only what is missing.
    order_tracker successor(options(), 2);
    successor.declare(at(0s), wanted(1, {new_model}));
    successor.renew_own_lease(at(1'000s));
    successor.engine_state_received(view(1s, {new_model}));
    cr_assert(waits(successor.next(at(1s)), order_wait::predecessor), "an order beside the predecessor's");
    cr_assert(waits(successor.next(at(5s)), order_wait::in_force));
}

FAULT_CELL(order_give, paused_wakes_late)
{
    // A sidecar decides on an order and is paused before it sends it. A successor has taken over. The engine
    // ignores fencing numbers, so only the look at the own lease just before sending keeps the old order
    // back.
    order_tracker keeper = ready_keeper();
    keeper.renew_own_lease(at(8s));
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(order);
    cr_assert(!keeper.sending(at(60s), *order), "the old sidecar undoes its successor's work");
    cr_assert(waits(keeper.next(at(60s)), order_wait::no_own_lease));
}

FAULT_CELL(order_give, config_stale)
{
    // A sidecar with a stale bundle meets an engine that has seen a newer one's orders. It gives none, and
    // never outbids the newer bundle's number.
    order_tracker keeper = ready_keeper();
    const std::uint64_t newer = (7ULL << 32U) | 5U;
    keeper.engine_state_received(view(6s, {}, newer));
    cr_assert(waits(keeper.next(at(6s)), order_wait::superseded));
    cr_assert(keeper.fence().value() < newer);
    keeper.declare(at(7s), wanted(7, {new_model}));
    keeper.replicas(new_model, alone(7s));
    cr_assert(order_of(keeper.next(at(7s)))->fence.value() > newer);
}

FAULT_CELL_MORE(order_give, config_stale, older_bundle)
{
    // An older bundle arrives late from a peer. What is declared never goes back.
    order_tracker keeper = ready_keeper();
    keeper.declare(at(1s), wanted(5, {new_model}));
    const fencing_number before = keeper.fence();
    keeper.declare(at(2s), wanted(4, {old_model}));
    cr_assert(keeper.fence() == before);
    keeper.replicas(new_model, alone(5s));
    cr_assert(order_of(keeper.next(at(6s)))->model == new_model);
}

FAULT_CELL(order_give, clock_jump)
{
    // The predecessor's clock ran ahead, so its number is higher than the successor's. After the wait for its
    // lease the successor outbids it; without that the engine would refuse every order for as long as the
    // clock was wrong.
    order_tracker successor = ready_keeper();
    const std::uint64_t ahead = (1ULL << 32U) | (start + 50U);
    successor.engine_state_received(view(6s, {}, ahead));
    cr_assert(order_of(successor.next(at(6s)))->fence.value() == ahead + 1);
}

FAULT_CELL(order_give, message_doubled)
{
    // The wish to send comes twice, as after a retry inside the daemon. One order is on its way at a time.
    order_tracker keeper = ready_keeper();
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *order));
    cr_assert(!keeper.sending(at(6s), *order));
}

FAULT_CELL(order_give, two_faults)
{
    // The weight store is over its rate, and all replicas of a model see stale views in which nobody loads.
    // They would all load at once and leave the model without a replica; one of them waits for the others.
    std::uint32_t loading = 0;
    const std::vector<upstream_id> all{upstream_id("e1"), upstream_id("e2"), upstream_id("e3")};
    for (const upstream_id& self : all) {
        order_tracker keeper = ready_keeper();
        keeper.replicas(new_model, {at(5s), 3, 0, 0, last_to_load(self, new_model, all)});
        loading += order_of(keeper.next(at(6s))) ? 1 : 0;
    }
    cr_assert(loading == 2);
}

FAULT_CELL(order_give, same_twice)
{
    // Two bundles in a row unload the same model everywhere. The replica that others' requests need is kept
    // until another one has the model.
    order_tracker keeper = ready_keeper();
    keeper.engine_state_received(view(6s, {old_model}));
    keeper.replicas(old_model, {at(6s), 2, 0, 1, false});
    cr_assert(waits(keeper.next(at(6s)), order_wait::others_loading));
    keeper.declare(at(7s), wanted(2, {new_model}));
    cr_assert(waits(keeper.next(at(7s)), order_wait::others_loading));
    keeper.replicas(old_model, {at(8s), 2, 1, 0, false});
    cr_assert(order_of(keeper.next(at(8s)))->kind == order_kind::unload_model);
}

FAULT_CELL(order_apply, message_lost)
{
    // The answer to an order is lost. The keeper gives it up after a while, reads the engine, finds the model
    // loaded, and orders nothing a second time.
    order_tracker keeper = ready_keeper();
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *order));
    cr_assert(waits(keeper.next(at(65s)), order_wait::answer));
    cr_assert(waits(keeper.next(at(67s)), order_wait::no_view));
    keeper.engine_state_received(view(70s, {new_model}));
    cr_assert(waits(keeper.next(at(75s)), order_wait::in_force));
}

FAULT_CELL(order_apply, message_late)
{
    // A look at the engine from before the order arrives after its answer. It must not lead to the same order
    // again; a look from after it is waited for.
    order_tracker keeper = ready_keeper();
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *order));
    keeper.answered(at(10s), order_result::done);
    keeper.engine_state_received(view(9s, {}));
    cr_assert(waits(keeper.next(at(11s)), order_wait::no_view));
    keeper.engine_state_received(view(11s, {new_model}));
    keeper.engine_state_received(view(9s, {}));
    cr_assert(waits(keeper.next(at(12s)), order_wait::in_force));
}

FAULT_CELL(order_apply, upstream_cold)
{
    // The engine restarts without its models in the middle of the day. They are loaded again, with a number
    // that has not fallen although the engine has forgotten it.
    order_tracker keeper = ready_keeper();
    const auto first = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *first));
    keeper.answered(at(7s), order_result::done);
    keeper.engine_state_received(view(8s, {new_model}, first->fence.value()));
    cr_assert(waits(keeper.next(at(8s)), order_wait::in_force));
    engine_view restarted = view(10s, {});
    restarted.start = incarnation(2);
    keeper.engine_state_received(restarted);
    keeper.replicas(new_model, alone(10s));
    const auto again = order_of(keeper.next(at(10s)));
    cr_assert(again && again->fence >= first->fence);
}

FAULT_CELL(order_apply, paused_wakes_late)
{
    // An old sidecar's order reaches an engine that honours fencing and is refused. It has learned that it is
    // over, and gives no order any more, although it believes to have a lease.
    order_tracker keeper = ready_keeper();
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *order));
    keeper.answered(at(7s), order_result::fenced);
    keeper.engine_state_received(view(8s, {}));
    cr_assert(keeper.superseded());
    cr_assert(waits(keeper.next(at(500s)), order_wait::superseded));
}

FAULT_CELL(order_apply, message_reordered)
{
    // A successor's order overtakes the old sidecar's on the way to the engine. The old one reads the higher
    // number and stops, instead of outbidding it and taking turns for ever.
    order_tracker keeper = ready_keeper();
    const auto order = order_of(keeper.next(at(6s)));
    cr_assert(keeper.sending(at(6s), *order));
    keeper.answered(at(7s), order_result::done);
    keeper.engine_state_received(view(9s, {}, order->fence.value() + 30));
    cr_assert(waits(keeper.next(at(9s)), order_wait::superseded));
    cr_assert(keeper.fence() == order->fence);
}

FAULT_CELL(order_apply, same_twice)
{
    // The weight store gives no permit for a while. The order is tried again at growing intervals with
    // jitter, not at once and not by all sidecars together.
    order_tracker keeper = ready_keeper();
    instant now = at(6s);
    std::vector<duration> gaps;
    for (int i = 0; i < 5; ++i) {
        const auto order = order_of(keeper.next(now));
        cr_assert(order);
        cr_assert(keeper.sending(now, *order));
        keeper.answered(now, order_result::rate_limit);
        const instant refused = now;
        while (!order_of(keeper.next(now))) {
            now += 100ms;
            keeper.engine_state_received({now, incarnation(1), {}, {}, engine_role::both, fencing_number(0)});
            keeper.replicas(new_model, {now, 1, 0, 0, true});
        }
        gaps.push_back(now - refused);
    }
    cr_assert(gaps.back() > gaps.front() * 4);
}
