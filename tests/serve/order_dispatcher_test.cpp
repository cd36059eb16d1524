#include "serve/order_world.h"

#include "once/once_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

const model_id first("m-1");
const model_id second("m-2");
constexpr duration step_interval = 100ms;

/// One sidecar that can query itself, and its engine.
struct single_sidecar
{
    order_engine engine;
    order_sidecar sidecar{"e1", at(0s), engine, 100};
    duration now{0};

    void run_until(duration end)
    {
        for (; now < end; now += step_interval) {
            sidecar.run_shell(at(now), {{sidecar.upstream, &sidecar}});
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

Test(order_dispatcher, loads_declared_models_and_orders_nothing_without_a_declaration)
{
    single_sidecar world;
    world.engine.models = {model_id("by-hand")};
    auto nothing = declared(1, {first});
    nothing.wanted.reset();
    world.sidecar.feed(at(0s), nothing);
    world.run_until(30s);
    cr_assert(world.engine.accepted.empty());
    world.sidecar.feed(at(30s), declared(2, {first, second}));
    world.run_until(60s);
    cr_assert(kinds_of(world.engine.accepted) == "-by-hand +m-1 +m-2 ", "%s",
              kinds_of(world.engine.accepted).c_str());
}

Test(order_dispatcher, many_replicas_form_disjoint_groups_of_similar_size)
{
    constexpr std::size_t replicas = 17;
    std::vector<sidecar_endpoint> endpoints;
    endpoints.reserve(replicas);
    for (std::size_t number = 0; number < replicas; ++number) {
        endpoints.push_back({upstream_id("e" + std::to_string(number)), {}});
    }
    std::map<upstream_id, std::size_t> listed;
    for (const auto& endpoint : endpoints) {
        const auto group = loading_group(endpoint.upstream, endpoints, 16);
        cr_assert(group.size() == 8 || group.size() == 9);
        for (const auto& member : group) {
            ++listed[member.upstream];
        }
    }
    for (const auto& [upstream, times] : listed) {
        cr_assert(times == loading_group(upstream, endpoints, 16).size(), "loading groups overlap");
    }
}

FAULT_CELL_MORE(order_give, paused_wakes_late, beside_successor)
{
    // Guards against an engine whose models are switched back and forth, so that requests fail. A sidecar is
    // partitioned with an old bundle and then paused; its address goes to a successor with a newer bundle.
    // When it resumes it finds a model that its bundle doesn't declare. The engine ignores fencing numbers,
    // so only the own lease prevents the outdated order.
    order_engine engine;
    engine.checks_fence = false;
    order_sidecar old("e1", at(0s), engine, 100);
    old.feed(at(0s), declared(1, {first}));
    duration now{0};
    for (; now < 20s; now += step_interval) {
        old.run_shell(at(now), {{old.upstream, &old}});
    }
    cr_assert(engine.models == std::vector{first});
    order_sidecar successor("e1", at(now), engine, 200);
    successor.feed(at(now), declared(2, {second}));
    now += 4s; // shorter than the gap that a sidecar detects as its own pause
    const auto before = old.orders.size();
    for (; now < 60s; now += step_interval) {
        successor.run_shell(at(now), {{successor.upstream, &successor}});
        old.run_shell(at(now), {{successor.upstream, &successor}});
    }
    cr_assert(old.orders.size() == before, "the superseded sidecar sent an order");
    cr_assert(old.core->superseded());
    cr_assert(engine.models == std::vector{second});
}

FAULT_CELL_MORE(ticket_send, paused_wakes_late, address_taken)
{
    // Guards against a booking that runs twice. A sidecar's address goes to a successor while a gateway still
    // has a connection to the old one, which was not paused for long enough to detect it. The successor runs
    // the key, so the old sidecar must neither run it nor answer ran `no`.
    order_engine engine;
    order_sidecar old("e1", at(0s), engine, 100);
    old.feed(at(0s), declared(1, {}));
    old.feed(at(0s), sidecar_input::routes_changed{
                         {{route_id("bookings"), {old.upstream}, std::chrono::minutes(10)}}});
    duration now{0};
    for (; now < 60s; now += step_interval) {
        old.run_shell(at(now), {{old.upstream, &old}});
    }
    cr_assert(has<sidecar_output::run_service>(old.book(at(now), 1, timed_key(59s, 1))));
    for (const auto end = now + 5s; now < end; now += step_interval) {
        old.run_shell(at(now), {});
    }
    const auto refused = old.book(at(now), 2, timed_key(64s, 2));
    cr_assert(!has<sidecar_output::run_service>(refused), "both sidecars run the call");
    cr_assert(std::get<sidecar_output::refuse_call>(refused.front()).why.ran == ran_state::unknown);
}

FAULT_CELL_MORE(ticket_send, message_late, own_lease)
{
    // Guards against a keyed booking that is sent after the sidecar's own lease has expired. It is passed to
    // the shell shortly before the expiry, and the process is paused before the first byte is sent.
    single_sidecar world;
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
    // Guards against orders and keyed calls by a sidecar that is partitioned from all peers while a newer
    // bundle spreads. It stops them after the time in which a bundle is in force everywhere, and resumes once
    // a peer answers. Tickets, which only this sidecar can run, continue. A sidecar that has never known a
    // peer acts without a limit, since a first sidecar could not act otherwise.
    single_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(100s);
    cr_assert(world.sidecar.core->holds_own_lease(at(100s)), "a process without peers needs no confirmation");
    world.sidecar.feed(at(100s), sidecar_input::peers_changed{true});
    world.run_until(110s);
    cr_assert(world.sidecar.core->holds_own_lease(at(110s)));
    world.run_until(112s);
    cr_assert(!world.sidecar.core->holds_own_lease(at(112s)));
    world.engine.models.clear();
    world.run_until(140s);
    cr_assert(world.engine.accepted.size() == 1, "sent an order without a peer's confirmation of the bundle");
    const auto ticket =
        world.sidecar.core->step(at(140s), sidecar_input::ticket_requested{call_number(1), {}});
    cr_assert(has<sidecar_output::send_ticket>(ticket));
    world.sidecar.feed(at(140s), sidecar_input::bundle_confirmed{at(139s)});
    world.run_until(149s);
    cr_assert(world.engine.accepted.size() == 2);
}

FAULT_CELL_MORE(order_give, config_stale, wrong_address)
{
    // Guards against treating the sidecar of another upstream as a successor. The bundle contains that
    // sidecar's address for this one: this one doesn't stop, but can't confirm its own lease either.
    single_sidecar world;
    order_engine other_engine;
    order_sidecar other("e2", at(0s), other_engine, 300);
    world.sidecar.feed(at(0s), declared(1, {first}));
    for (; world.now < 20s; world.now += step_interval) {
        world.sidecar.run_shell(at(world.now), {{upstream_id("e1"), &other}});
    }
    cr_assert(!world.sidecar.core->superseded());
    cr_assert(world.engine.accepted.empty());
}

FAULT_CELL_MORE(order_apply, upstream_cold, through_the_core)
{
    // Guards against an engine without its model after a restart, which changes its start number and resets
    // its fencing number.
    single_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(30s);
    cr_assert(world.engine.models == std::vector{first});
    world.engine.start = incarnation(2);
    world.engine.models.clear();
    world.engine.fence = fencing_number();
    world.run_until(60s);
    cr_assert(world.engine.models == std::vector{first});
    cr_assert(world.engine.accepted.size() == 2);
}

FAULT_CELL_MORE(order_apply, message_lost, answer)
{
    // Guards against ordering a load twice. The answer to the order is lost and the load takes minutes; the
    // engine's report shows that it is loading.
    single_sidecar world;
    world.engine.load_duration = std::chrono::minutes(5);
    world.sidecar.answer_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(400s);
    cr_assert(world.engine.accepted.size() == 1);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL(order_give, message_lost)
{
    // Guards against a lost order that is never repeated, or repeated without backoff.
    single_sidecar world;
    world.sidecar.order_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(100s);
    const auto attempts = world.sidecar.orders.size();
    cr_assert(attempts >= 3 && attempts <= 12, "%zu orders", attempts);
    world.sidecar.order_lost = false;
    world.run_until(200s);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL_MORE(order_apply, message_late, given_up)
{
    // Guards against the late answer to an order that has timed out being taken for the answer to the next
    // one, which is in flight.
    single_sidecar world;
    world.sidecar.order_lost = true;
    world.sidecar.answer_lost = true;
    world.sidecar.feed(at(0s), declared(1, {first}));
    while (world.sidecar.orders.size() < 2) {
        world.run_until(world.now + step_interval);
    }
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{1, order_result::fenced});
    cr_assert(!world.sidecar.core->orders().superseded());
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{2, order_result::fenced});
    cr_assert(world.sidecar.core->orders().superseded());
}

FAULT_CELL_MORE(order_apply, two_faults, bundle_moves)
{
    // Guards against orders during a load. A newer bundle comes into force while the engine loads for minutes
    // what the older one declared; after that load the engine is brought to the newer bundle.
    single_sidecar world;
    world.engine.load_duration = 60s;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(30s);
    world.sidecar.feed(at(30s), declared(2, {second}));
    world.run_until(60s);
    cr_assert(world.engine.accepted.size() == 1);
    world.run_until(200s);
    cr_assert(kinds_of(world.engine.accepted) == "+m-1 -m-1 +m-2 ");
    cr_assert(world.engine.accepted.back().fence > world.engine.accepted.front().fence);
}

FAULT_CELL_MORE(order_apply, same_twice, weights_do_not_come)
{
    // Guards against orders repeated without backoff. The weight store is over its rate limit, so that loads
    // end without a model although the engine accepts every order.
    single_sidecar world;
    world.engine.weights_available = false;
    world.sidecar.feed(at(0s), declared(1, {first}));
    world.run_until(300s);
    cr_assert(world.engine.accepted.size() <= 15, "%zu orders", world.engine.accepted.size());
    world.engine.weights_available = true;
    world.run_until(400s);
    cr_assert(world.engine.models == std::vector{first});
}

FAULT_CELL(order_give, upstream_cold)
{
    // Guards against all replicas of a model loading at the same time: none would answer until all have
    // loaded, and the weight store would be overloaded. After a power failure all engines start without the
    // model at once.
    std::vector<order_engine> engines(6);
    std::vector<std::unique_ptr<order_sidecar>> sidecars;
    std::map<upstream_id, order_sidecar*> all;
    const std::vector<std::string> names{"e1", "e2", "e3", "e4", "e5", "e6"};
    for (std::size_t place = 0; place < engines.size(); ++place) {
        engines[place].load_duration = 20s;
        sidecars.push_back(
            std::make_unique<order_sidecar>(names[place], at(0s), engines[place], 100 + place));
        all[upstream_id(names[place])] = sidecars.back().get();
        sidecars.back()->feed(at(0s), declared(1, {first}, names));
    }
    std::size_t max_loading = 0;
    std::size_t ready = 0;
    for (duration now{0}; now < 300s; now += step_interval) {
        std::size_t loading = 0;
        ready = 0;
        for (auto& sidecar : sidecars) {
            sidecar->run_shell(at(now), all);
            loading += sidecar->engine->loads.size();
            ready += sidecar->engine->models.size();
        }
        cr_assert(loading < engines.size(), "all replicas load at once");
        max_loading = std::max(max_loading, loading);
    }
    cr_assert(ready == engines.size());
    cr_assert(max_loading <= 4, "%zu load at once", max_loading);
}

FAULT_CELL(order_give, domain_out)
{
    // Guards against a model that no engine serves. A bundle moves it from one engine to another, whose
    // failure domain is drained. The other one loads the model but accepts no request, so the first one keeps
    // it.
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
        for (; now < end; now += step_interval) {
            from.run_shell(at(now), all);
            to.run_shell(at(now), all);
        }
    };
    run_until(100s);
    cr_assert(engines[1].models.size() == 2);
    cr_assert(engines[0].models == std::vector{first}, "no engine serves the model");
    to.feed(at(now), sidecar_input::drain_changed{false});
    run_until(110s);
    cr_assert(engines[0].models.empty() || engines[0].models == std::vector{second});
}

FAULT_CELL(order_give, message_late)
{
    // Guards against all replicas loading at once because of an outdated answer: a delayed answer shows a
    // model that the replica has lost since. The replica that loads last must ignore it.
    single_sidecar world;
    const std::vector<upstream_id> both{upstream_id("e1"), upstream_id("e2")};
    const auto model = last_to_load(both[0], first, both) ? first : second;
    cr_assert(last_to_load(both[0], model, both));
    world.sidecar.feed(at(0s), declared(1, {model}, {"e1", "e2"}));
    world.run_until(31s);
    world.sidecar.feed(at(31s),
                       sidecar_input::sidecar_answered{both[1], at(5s), incarnation(9), {model}, {}});
    world.run_until(61s);
    cr_assert(world.engine.accepted.empty(), "both replicas load at once");
    world.sidecar.feed(at(61s),
                       sidecar_input::sidecar_answered{both[1], at(61s), incarnation(9), {model}, {}});
    world.run_until(70s);
    cr_assert(world.engine.accepted.size() == 1);
}

FAULT_CELL(order_give, connection_silent)
{
    // Guards against loads that wait for good for the sidecar of a third replica, which is silent.
    order_engine engines[2];
    order_sidecar one("e1", at(0s), engines[0], 100);
    order_sidecar other("e2", at(0s), engines[1], 200);
    const std::map<upstream_id, order_sidecar*> all{{one.upstream, &one}, {other.upstream, &other}};
    for (auto* sidecar : {&one, &other}) {
        sidecar->feed(at(0s), declared(1, {first}, {"e1", "e2", "e3"}));
    }
    for (duration now{0}; now < 60s; now += step_interval) {
        one.run_shell(at(now), all);
        other.run_shell(at(now), all);
    }
    cr_assert(engines[0].models == std::vector{first});
    cr_assert(engines[1].models == std::vector{first});
}

FAULT_CELL(order_give, partition_one_way)
{
    // Guards against orders without a confirmed own lease. The sidecar receives from its peers, but nothing
    // reaches its own address, which a successor might hold. It sends no order until it reaches itself.
    single_sidecar world;
    world.sidecar.feed(at(0s), declared(1, {first}));
    for (; world.now < 30s; world.now += step_interval) {
        world.sidecar.feed(at(world.now), sidecar_input::bundle_confirmed{at(world.now)});
        world.sidecar.run_shell(at(world.now), {});
    }
    cr_assert(world.engine.accepted.empty());
    world.run_until(60s);
    cr_assert(world.engine.accepted.size() == 1);
}

FAULT_CELL(order_apply, process_dies)
{
    // Guards against an order of a successor during a load that the predecessor ordered before it died.
    order_engine engine;
    engine.load_duration = std::chrono::minutes(3);
    duration now{0};
    for (const std::uint64_t start : {100U, 200U}) {
        order_sidecar sidecar("e1", at(now), engine, start);
        sidecar.feed(at(now), declared(1, {first}));
        for (const auto end = now + 100s; now < end; now += step_interval) {
            sidecar.run_shell(at(now), {{sidecar.upstream, &sidecar}});
        }
        cr_assert(engine.accepted.size() == 1);
    }
    cr_assert(engine.models == std::vector{first});
}

FAULT_CELL(order_apply, message_doubled)
{
    // Guards against a duplicated answer to one order ending the next order, which is in flight.
    single_sidecar world;
    world.engine.models = {model_id("left-over")};
    world.engine.load_duration = 60s;
    world.sidecar.feed(at(0s), declared(1, {first}));
    while (world.sidecar.orders.size() < 2) {
        world.run_until(world.now + step_interval);
    }
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{1, order_result::fenced});
    world.sidecar.feed(at(world.now), sidecar_input::order_answered{2, order_result::fenced});
    cr_assert(!world.sidecar.core->orders().superseded(), "the order had been accepted before");
    world.run_until(world.now + 90s);
    cr_assert(world.engine.models == std::vector{first});
    cr_assert(world.engine.accepted.size() == 2);
}
