#pragma once

#include "dragonflymill/serve/sidecar_core.h"
#include "support/virtual_time.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// An engine as a sidecar sees it.
struct order_engine
{
    bool fences = true;                ///< Whether it refuses old fencing numbers.
    bool weights_come = true;          ///< Whether loads succeed.
    duration load_time = 2s;           ///< Time to load a model.
    incarnation start{1};              ///< Its start.
    std::vector<model_id> models;      ///< Loaded.
    std::vector<engine_order> carried; ///< Orders that it has taken.
    std::map<model_id, instant> loads; ///< Loading until then.
    fencing_number fence;              ///< Highest number seen.

    /// An order arrives.
    auto take(instant now, const engine_order& order) -> order_result
    {
        if (fences && order.fence < fence) {
            return order_result::fenced;
        }
        fence = fences ? order.fence : fence;
        carried.push_back(order);
        if (order.kind == order_kind::load_model) {
            loads.emplace(order.model, now + load_time);
        }
        std::erase_if(models, [&](const auto& model) {
            return order.kind == order_kind::unload_model && model == order.model;
        });
        return order_result::done;
    }
    /// What it says of itself.
    auto report(instant now) -> sidecar_input::engine_reported
    {
        sidecar_input::engine_reported report;
        for (auto load = loads.begin(); load != loads.end();) {
            if (load->second > now) {
                report.loading.push_back(load->first);
                ++load;
                continue;
            }
            if (weights_come) {
                models.push_back(load->first);
            }
            load = loads.erase(load);
        }
        report.status.start = start;
        report.view = {now, start, models, {}, engine_role::both, fence};
        return report;
    }
};

/// A sidecar with its shell's work done on a virtual clock: ticks, reports of its engine, questions to
/// others.
struct order_sidecar
{
    /// A start of the sidecar beside `own_engine`, numbered `self`, which holds the address at once.
    order_sidecar(std::string name, instant now, order_engine& own_engine, std::uint64_t self)
        : upstream(std::move(name))
        , start(self)
        , engine(&own_engine)
        , core(std::make_unique<sidecar_core>(now, options(now)))
    {
        feed(now, sidecar_input::listening{});
    }
    /// Takes an event whose actions don't matter.
    void feed(instant now, const sidecar_event& event) { static_cast<void>(core->step(now, event)); }
    /// One turn of the shell; `others` are those who can be asked, by upstream.
    void turn(instant now, const std::map<upstream_id, order_sidecar*>& others)
    {
        if (now >= next_report) {
            next_report = now + 200ms;
            feed(now, engine->report(now));
        }
        for (const auto& action : core->step(now, sidecar_input::tick{})) {
            if (const auto* ask = std::get_if<sidecar_output::ask_sidecar>(&action)) {
                const auto asked = others.find(ask->place.upstream);
                if (asked != others.end()) {
                    feed(now, asked->second->answer(now));
                }
            }
            if (const auto* given = std::get_if<sidecar_output::send_order>(&action)) {
                orders.push_back(*given);
                const auto how = order_lost ? order_result::failed : engine->take(now, given->order);
                if (!answer_lost) {
                    feed(now, sidecar_input::order_answered{given->number, how});
                }
            }
        }
    }
    /// Its answer to a question.
    [[nodiscard]] auto answer(instant now) const -> sidecar_input::sidecar_answered
    {
        return {upstream,
                now,
                start,
                core->orders().models(),
                core->orders().loading(),
                core->load(now).draining};
    }
    /// A booking by a key made at `made`, as call `number`.
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

    upstream_id upstream;                           ///< Its upstream.
    incarnation start;                              ///< Its start.
    order_engine* engine;                           ///< Its engine.
    std::unique_ptr<sidecar_core> core;             ///< What decides.
    std::vector<sidecar_output::send_order> orders; ///< Orders given.
    bool order_lost = false;                        ///< Orders don't reach the engine.
    bool answer_lost = false;                       ///< No answer to an order comes.
    instant next_report;                            ///< When the engine is read again.

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

/// What the bundle of `version` declares: `models` at each of `replicas`.
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
