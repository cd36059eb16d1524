#pragma once

#include "dragonflymill/serve/sidecar_core.h"
#include "support/virtual_time.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Simulated engine of a sidecar.
struct order_engine
{
    bool checks_fence = true;           ///< Whether it rejects old fencing numbers.
    bool weights_available = true;      ///< Whether weights can be fetched, so that loads succeed.
    duration load_duration = 2s;        ///< Time to load a model.
    incarnation start{1};               ///< Start number.
    std::vector<model_id> models;       ///< Loaded models.
    std::vector<engine_order> accepted; ///< Accepted orders.
    std::map<model_id, instant> loads;  ///< Models being loaded, with the time when each is loaded.
    fencing_number fence;               ///< Highest fencing number received.

    /// Handles an order.
    auto apply(instant now, const engine_order& order) -> order_result
    {
        if (checks_fence && order.fence < fence) {
            return order_result::fenced;
        }
        fence = checks_fence ? order.fence : fence;
        accepted.push_back(order);
        if (order.kind == order_kind::load_model) {
            loads.emplace(order.model, now + load_duration);
        }
        std::erase_if(models, [&](const auto& model) {
            return order.kind == order_kind::unload_model && model == order.model;
        });
        return order_result::done;
    }
    /// Completes the loads that are due and returns the engine's report.
    auto report(instant now) -> sidecar_input::engine_reported
    {
        sidecar_input::engine_reported report;
        for (auto load = loads.begin(); load != loads.end();) {
            if (load->second > now) {
                report.loading.push_back(load->first);
                ++load;
                continue;
            }
            if (weights_available) {
                models.push_back(load->first);
            }
            load = loads.erase(load);
        }
        report.status.start = start;
        report.view = {now, start, models, {}, engine_role::both, fence};
        return report;
    }
};

/// A sidecar core and the work of its shell on a virtual clock: ticks, reports of its engine, queries to
/// other sidecars.
struct order_sidecar
{
    /// Starts incarnation `self` of the sidecar of `own_engine`, which binds its address at once.
    order_sidecar(std::string name, instant now, order_engine& own_engine, std::uint64_t self)
        : upstream(std::move(name))
        , start(self)
        , engine(&own_engine)
        , core(std::make_unique<sidecar_core>(now, options(now)))
    {
        feed(now, sidecar_input::listening{});
    }
    /// Applies an event and ignores the actions.
    void feed(instant now, const sidecar_event& event) { static_cast<void>(core->step(now, event)); }
    /// Runs one iteration of the shell; `others` are the sidecars that answer queries, by upstream.
    void run_shell(instant now, const std::map<upstream_id, order_sidecar*>& others)
    {
        if (now >= next_report) {
            next_report = now + 200ms;
            feed(now, engine->report(now));
        }
        for (const auto& action : core->step(now, sidecar_input::tick{})) {
            if (const auto* query = std::get_if<sidecar_output::ask_sidecar>(&action)) {
                const auto queried = others.find(query->place.upstream);
                if (queried != others.end()) {
                    feed(now, queried->second->answer(now));
                }
            }
            if (const auto* sent = std::get_if<sidecar_output::send_order>(&action)) {
                orders.push_back(*sent);
                const auto how = order_lost ? order_result::failed : engine->apply(now, sent->order);
                if (!answer_lost) {
                    feed(now, sidecar_input::order_answered{sent->number, how});
                }
            }
        }
    }
    /// Returns its answer to a query.
    [[nodiscard]] auto answer(instant now) const -> sidecar_input::sidecar_answered
    {
        return {upstream,
                now,
                start,
                core->orders().models(),
                core->orders().loading(),
                core->load(now).draining};
    }
    /// Calls the booking service with an idempotency key, as call `number`.
    [[nodiscard]] auto book(instant now, std::uint64_t number, const std::string& key)
        -> std::vector<sidecar_action>
    {
        service_spec spec;
        spec.route = route_id("bookings");
        spec.account = client_account_id("a");
        spec.idempotency_key = key;
        spec.remaining = 10s;
        return core->step(now, sidecar_input::service_called{call_number(number), spec});
    }

    upstream_id upstream;                           ///< Upstream of the sidecar.
    incarnation start;                              ///< Start number.
    order_engine* engine;                           ///< Engine of the sidecar.
    std::unique_ptr<sidecar_core> core;             ///< Core under test.
    std::vector<sidecar_output::send_order> orders; ///< Sent orders.
    bool order_lost = false;                        ///< Whether orders are lost on the way to the engine.
    bool answer_lost = false;                       ///< Whether answers to orders are lost.
    instant next_report;                            ///< Time of the next report of the engine.

private:
    [[nodiscard]] auto options(instant now) const -> sidecar_core_options
    {
        sidecar_core_options made;
        made.ledger.upstream = upstream;
        made.ledger.self = start;
        made.ledger.started = now;
        made.ledger.started_wall = wall_instant(std::chrono::seconds(1'700'000'000)) + (now - instant());
        made.ledger.predecessor_lease = made.own_lease_term;
        made.ledger.ticket_key = "a key of the tests";
        made.start_seconds = static_cast<std::uint32_t>(start.value());
        made.seed = start.value();
        return made;
    }
};

/// Returns the declaration of the bundle `version`: `models` at each of `replicas`.
inline auto declared(std::uint64_t version, std::vector<model_id> models,
                     const std::vector<std::string>& replicas = {"e1"}) -> sidecar_input::declared_changed
{
    sidecar_input::declared_changed made;
    made.own_address = "own";
    for (const auto& model : models) {
        made.replicas.push_back({model, {}});
        for (const auto& name : replicas) {
            made.replicas.back().places.push_back({upstream_id(name), name});
        }
    }
    made.wanted = declared_engine{bundle_version(version), std::move(models), {}, std::nullopt};
    return made;
}

template <typename Action>
auto has(const std::vector<sidecar_action>& actions) -> bool
{
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto& action) { return std::holds_alternative<Action>(action); });
}

} // namespace dragonflymill::test
