#include "serve/order_world.h"

#include "once/once_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

const model_id first("m-1");
const model_id second("m-2");
constexpr duration turn_interval = 100ms;

/// One sidecar that can ask itself, and its engine.
struct lone_sidecar
{
    order_engine engine;
    order_sidecar sidecar{"e1", at(0s), engine, 100};
    duration now{0};

    void run_until(duration end)
    {
        for (; now < end; now += turn_interval) {
            sidecar.turn(at(now), {{sidecar.upstream, &sidecar}});
        }
    }
};

auto kinds_of(const std::vector<engine_order>& orders) -> std::string
{
    std::string text;
    for (const auto& order : orders) {
        text += (order.kind == order_kind::load_model ? "+" : "-") + order.model.text() + " ";
    }
    return text;
}

} // namespace

Test(order_dispatcher,
     an_engine_without_models_gets_the_declared_ones_and_a_bundle_without_models_orders_nothing)
{
    lone_sidecar world;
    world.engine.models = {model_id("by-hand")};
    auto nothing = declared(1, {first});
    nothing.wanted.reset();
    world.sidecar.feed(at(0s), nothing);
    world.run_until(30s);
    cr_assert(world.engine.carried.empty());
    world.sidecar.feed(at(30s), declared(2, {first, second}));
    world.run_until(60s);
    cr_assert(kinds_of(world.engine.carried) == "-by-hand +m-1 +m-2 ", "%s",
              kinds_of(world.engine.carried).c_str());
}

Test(order_dispatcher, many_replicas_of_a_model_heed_each_other_in_equal_groups)
{
    constexpr std::size_t replicas = 17;
    std::vector<sidecar_place> places;
    places.reserve(replicas);
    for (std::size_t number = 0; number < replicas; ++number) {
        places.push_back({upstream_id("e" + std::to_string(number)), {}});
    }
    std::map<upstream_id, std::size_t> listed;
    for (const auto& place : places) {
        const auto group = loading_group(place.upstream, places, 16);
        cr_assert(group.size() == 8 || group.size() == 9);
        for (const auto& member : group) {
            ++listed[member.upstream];
        }
    }
    for (const auto& [upstream, times] : listed) {
        cr_assert(times == loading_group(upstream, places, 16).size(), "groups overlap");
    }
}

FAULT_CELL_MORE(order_give, paused_wakes_late, beside_successor)
{
    // Requests fail because an engine changes its models to and fro. A sidecar was cut off with an old bundle
    // and then paused; its address went to a successor with a newer one. Awake again it finds a model that
    // its bundle doesn't name. The engine ignores fencing numbers, so nobody else keeps the old order back.
    order_engine engine;
    engine.fences = false;
    order_sidecar old("e1", at(0s), engine, 100);
    old.feed(at(0s), declared(1, {first}));
    duration now{0};
    for (; now < 20s; now += turn_interval) {
        old.turn(at(now), {{old.upstream, &old}});
    }
    cr_assert(engine.models == std::vector{first});
    order_sidecar successor("e1", at(now), engine, 200);
    successor.feed(at(now), declared(2, {second}));
    now += 4s; // shorter than what a sidecar takes for a pause by itself
    const auto before = old.orders.size();
    for (; now < 60s; now += turn_interval) {
        successor.turn(at(now), {{successor.upstream, &successor}});
        old.turn(at(now), {{successor.upstream, &successor}});
    }
    cr_assert(old.orders.size() == before, "the old sidecar gave an order beside its successor");
    cr_assert(old.core->superseded());
    cr_assert(engine.models == std::vector{second});
}

FAULT_CELL_MORE(ticket_send, paused_wakes_late, address_taken)
{
    // A booking is made twice. A sidecar's address went to a successor while a gateway still had a connection
    // to the old one, which was not paused for long enough to notice anything. The caller's key is run by the
    // successor and must not be by the old one, nor be said not to have run.
    order_engine engine;
    order_sidecar old("e1", at(0s), engine, 100);
    old.feed(at(0s), declared(1, {}));
    old.feed(at(0s), sidecar_input::routes_changed{
                         {{route_id("bookings"), {old.upstream}, std::chrono::minutes(10)}}});
    duration now{0};
    for (; now < 60s; now += turn_interval) {
        old.turn(at(now), {{old.upstream, &old}});
    }
    cr_assert(has<sidecar_output::run_service>(old.book(at(now), 1, timed_key(59s, 1))));
    for (const auto end = now + 5s; now < end; now += turn_interval) {
        old.turn(at(now), {});
    }
    const auto refused = old.book(at(now), 2, timed_key(64s, 2));
    cr_assert(!has<sidecar_output::run_service>(refused), "both run the call");
    cr_assert(std::get<sidecar_output::refuse_call>(refused.front()).why.ran == ran_state::unknown);
}

FAULT_CELL_MORE(ticket_send, message_late, own_lease)
{
    // A booking by key is handed to the shell just before the sidecar's lease on itself ends, and the process
    // stops before the first byte has left. The shell must not send it after that moment.
    lone_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {}));
    world.sidecar.feed(at(0s), sidecar_input::routes_changed{
                                   {{route_id("bookings"), {upstream_id("e1")}, std::chrono::minutes(10)}}});
    world.run_until(60s);
    const auto run = world.sidecar.book(at(60s), 1, timed_key(59s, 1));
    cr_assert(has<sidecar_output::run_service>(run));
    cr_assert(std::get<sidecar_output::run_service>(run.front()).not_after <= at(64s));
}

FAULT_CELL_MORE(order_give, partition, isolated)
{
    // A sidecar is cut off from all peers while a newer bundle spreads. After the time in which a bundle is
    // in force everywhere it gives no order and runs no key; tickets, which only it can run, go on. Once a
    // peer answers it acts again. One that has never known a peer acts for good, or a first sidecar never
    // could.
    lone_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(100s);
    cr_assert(world.sidecar.core->holds_own_lease(at(100s)), "a process on its own");
    world.sidecar.feed(at(100s), sidecar_input::peers_changed{true});
    world.run_until(110s);
    cr_assert(world.sidecar.core->holds_own_lease(at(110s)));
    world.run_until(112s);
    cr_assert(!world.sidecar.core->holds_own_lease(at(112s)));
    world.engine.models.clear();
    world.run_until(140s);
    cr_assert(world.engine.carried.size() == 1, "an order without a peer's word on the bundle");
    const auto ticket =
        world.sidecar.core->step(at(140s), sidecar_input::ticket_requested{call_number(1), {}});
    cr_assert(has<sidecar_output::send_ticket>(ticket));
    world.sidecar.feed(at(140s), sidecar_input::bundle_confirmed{at(139s)});
    world.run_until(149s);
    cr_assert(world.engine.carried.size() == 2);
}

FAULT_CELL_MORE(order_give, config_stale, wrong_address)
{
    // A bundle gives a sidecar's address as that of another upstream's sidecar. It is no successor of this
    // one: this one doesn't stop, but has no proof that it is the one in place.
    lone_sidecar world;
    order_engine other_engine;
    order_sidecar other("e2", at(0s), other_engine, 300);
    world.sidecar.feed(at(0s), declared(1, {first}));
    for (; world.now < 20s; world.now += turn_interval) {
        world.sidecar.turn(at(world.now), {{upstream_id("e1"), &other}});
    }
    cr_assert(!world.sidecar.core->superseded());
    cr_assert(world.engine.carried.empty());
}

FAULT_CELL_MORE(order_apply, upstream_cold, through_the_core)
{
    // An engine restarts in the middle of the day, with another start id and without its model.
    lone_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(30s);
    cr_assert(world.engine.models == std::vector{first});
    world.engine.start = incarnation(2);
    world.engine.models.clear();
    world.engine.fence = fencing_number();
    world.run_until(60s);
    cr_assert(world.engine.models == std::vector{first});
    cr_assert(world.engine.carried.size() == 2);
}

FAULT_CELL_MORE(order_apply, message_lost, answer)
{
    // The answer to a load is lost, and the load takes minutes. It is not ordered a second time: the engine
    // says that it is loading.
    lone_sidecar world;
    world.engine.load_time = std::chrono::minutes(5);
    world.sidecar.answer_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(400s);
    cr_assert(world.engine.carried.size() == 1);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL(order_give, message_lost)
{
    // An order never reaches its engine. It is given again, at growing intervals.
    lone_sidecar world;
    world.sidecar.order_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(100s);
    const auto tries = world.sidecar.orders.size();
    cr_assert(tries >= 3 && tries <= 12, "%zu orders", tries);
    world.sidecar.order_lost = false;
    world.run_until(200s);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL_MORE(order_apply, message_late, given_up)
{
    // The answer to an order that was given up comes while the next one is on its way. It says nothing of
    // that.
    lone_sidecar world;
    world.sidecar.order_lost = true;
    world.sidecar.answer_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    while (world.sidecar.orders.size() < 2) {
        world.run_until(world.now + turn_interval);
    }
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{1, order_result::fenced});
    cr_assert(!world.sidecar.core->orders().superseded());
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{2, order_result::fenced});
    cr_assert(world.sidecar.core->orders().superseded());
}

FAULT_CELL_MORE(order_apply, two_faults, bundle_moves)
{
    // A newer bundle comes into force while an engine loads for minutes what the older one declared. Nothing
    // is ordered beside that load; after it the engine is brought to the newer one.
    lone_sidecar world;
    world.engine.load_time = 60s;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(30s);
    world.sidecar.feed(at(30s), declared(2, {second}));
    world.run_until(60s);
    cr_assert(world.engine.carried.size() == 1);
    world.run_until(200s);
    cr_assert(kinds_of(world.engine.carried) == "+m-1 -m-1 +m-2 ");
    cr_assert(world.engine.carried.back().fence > world.engine.carried.front().fence);
}

FAULT_CELL_MORE(order_apply, same_twice, weights_do_not_come)
{
    // The weight store is over its rate, so that loads end with nothing. The engine takes every order, and
    // only its state tells; the orders must not come at full speed.
    lone_sidecar world;
    world.engine.weights_come = false;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(300s);
    cr_assert(world.engine.carried.size() <= 15, "%zu orders", world.engine.carried.size());
    world.engine.weights_come = true;
    world.run_until(400s);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL(order_give, upstream_cold)
{
    // A power cut takes all engines of a model; all come back without it at the same moment. If all loaded at
    // once none would answer until all have it, and the weight store would get the whole rush.
    std::vector<order_engine> engines(6);
    std::vector<std::unique_ptr<order_sidecar>> sidecars;
    std::map<upstream_id, order_sidecar*> all;
    const std::vector<std::string> names{"e1", "e2", "e3", "e4", "e5", "e6"};
    for (std::size_t place = 0; place < engines.size(); ++place) {
        engines[place].load_time = 20s;
        sidecars.push_back(
            std::make_unique<order_sidecar>(names[place], at(0s), engines[place], 100 + place));
        all[upstream_id(names[place])] = sidecars.back().get();
        sidecars.back()->feed(at(0s), declared(1, {first}, names));
    }
    std::size_t most = 0;
    std::size_t ready = 0;
    for (duration now{0}; now < 300s; now += turn_interval) {
        std::size_t loading = 0;
        ready = 0;
        for (auto& sidecar : sidecars) {
            sidecar->turn(at(now), all);
            loading += sidecar->engine->loads.size();
            ready += sidecar->engine->models.size();
        }
        cr_assert(loading < engines.size(), "all replicas load at once");
        most = std::max(most, loading);
    }
    cr_assert(ready == engines.size());
    cr_assert(most <= 4, "%zu load at once", most);
}

FAULT_CELL(order_give, domain_out)
{
    // A bundle moves a model from one engine to another, whose failure domain is out of service. The other
    // has the model but takes no request, so the first keeps it. Being out keeps no engine from its models.
    order_engine engines[2];
    order_sidecar from("e1", at(0s), engines[0], 100);
    order_sidecar to("e2", at(0s), engines[1], 200);
    engines[0].models = {first};
    auto moved = declared(2, {first, second}, {"e2"});
    to.feed(at(0s), sidecar_input::drain_changed{true});
    to.feed(at(0s), moved);
    moved.wanted->models = {second};
    from.feed(at(0s), moved);
    const std::map<upstream_id, order_sidecar*> all{{from.upstream, &from}, {to.upstream, &to}};
    duration now{0};
    const auto run_until = [&](duration end) {
        for (; now < end; now += turn_interval) {
            from.turn(at(now), all);
            to.turn(at(now), all);
        }
    };
    run_until(100s);
    cr_assert(engines[1].models.size() == 2);
    cr_assert(engines[0].models == std::vector{first}, "nobody serves the model");
    to.feed(at(now), sidecar_input::drain_changed{false});
    run_until(110s);
    cr_assert(engines[0].models.empty() || engines[0].models == std::vector{second});
}

FAULT_CELL(order_give, message_late)
{
    // A replica's answer was under way for long: it tells that it had the model, which it has lost since. The
    // one that loads last must not take it for news.
    lone_sidecar world;
    const std::vector<upstream_id> both{upstream_id("e1"), upstream_id("e2")};
    const auto model = last_to_load(both[0], first, both) ? first : second;
    cr_assert(last_to_load(both[0], model, both));
    world.sidecar.feed(at(0s), declared(1, {model}, {"e1", "e2"}));
    world.run_until(31s);
    world.sidecar.feed(at(31s),
                       sidecar_input::sidecar_answered{both[1], at(5s), incarnation(9), {model}, {}});
    world.run_until(61s);
    cr_assert(world.engine.carried.empty(), "both load at once");
    world.sidecar.feed(at(61s),
                       sidecar_input::sidecar_answered{both[1], at(61s), incarnation(9), {model}, {}});
    world.run_until(70s);
    cr_assert(world.engine.carried.size() == 1);
}

FAULT_CELL(order_give, connection_silent)
{
    // The sidecar of one of three replicas is silent. The others don't wait for it with their loads.
    order_engine engines[2];
    order_sidecar one("e1", at(0s), engines[0], 100);
    order_sidecar other("e2", at(0s), engines[1], 200);
    const std::map<upstream_id, order_sidecar*> all{{one.upstream, &one}, {other.upstream, &other}};
    for (auto* sidecar : {&one, &other}) {
        sidecar->feed(at(0s), declared(1, {first}, {"e1", "e2", "e3"}));
    }
    for (duration now{0}; now < 60s; now += turn_interval) {
        one.turn(at(now), all);
        other.turn(at(now), all);
    }
    cr_assert(engines[0].models == std::vector{first});
    cr_assert(engines[1].models == std::vector{first});
}

FAULT_CELL(order_give, partition_one_way)
{
    // Peers are heard, but nothing reaches the sidecar's own address, as gateways would find too. It can't
    // know whether a successor is behind that, and gives no order until it reaches itself.
    lone_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    for (; world.now < 30s; world.now += turn_interval) {
        world.sidecar.feed(at(world.now), sidecar_input::bundle_confirmed{at(world.now)});
        world.sidecar.turn(at(world.now), {});
    }
    cr_assert(world.engine.carried.empty());
    world.run_until(60s);
    cr_assert(world.engine.carried.size() == 1);
}

FAULT_CELL(order_apply, process_dies)
{
    // A sidecar dies while its engine loads for minutes at its word. Its successor finds the engine loading
    // and orders nothing beside it.
    order_engine engine;
    engine.load_time = std::chrono::minutes(3);
    duration now{0};
    for (const std::uint64_t start : {100U, 200U}) {
        order_sidecar sidecar("e1", at(now), engine, start);
        sidecar.feed(at(now), declared(1, {first}));
        for (const auto end = now + 100s; now < end; now += turn_interval) {
            sidecar.turn(at(now), {{sidecar.upstream, &sidecar}});
        }
        cr_assert(engine.carried.size() == 1);
    }
    cr_assert(engine.models == std::vector{first});
}

FAULT_CELL(order_apply, message_doubled)
{
    // The answer to an order comes twice. The copy must not end the next order, which is on its way.
    lone_sidecar world;
    world.engine.models = {model_id("left-over")};
    world.engine.load_time = 60s;
    world.sidecar.feed(at(0s), declared(1, {first}));
    while (world.sidecar.orders.size() < 2) {
        world.run_until(world.now + turn_interval);
    }
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{1, order_result::fenced});
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{2, order_result::fenced});
    cr_assert(!world.sidecar.core->orders().superseded(), "the order was taken before");
    world.run_until(world.now + 90s);
    cr_assert(world.engine.models == std::vector{first});
    cr_assert(world.engine.carried.size() == 2);
}
