#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/direct/attempt_rules.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/digest_reports.h"
#include "dragonflymill/direct/gossip_schedule.h"
#include "engine_samples.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// Gateways and upstreams in failure domains "d0", "d1" and so on, in turn, on a virtual clock.
struct outage_scenario
{
    int gateways = 6;
    int upstreams = 54;
    int domains = 3;
    std::int64_t prompt_tokens = 500;
    double calls_per_s = 900.0; ///< Of all callers together.
    duration length = 3s;
    /// Whether a gateway reaches an upstream at a time since the start.
    std::function<bool(int gateway, int upstream, duration at)> reaches = [](int, int, duration) {
        return true;
    };
    /// Whether a gateway runs.
    std::function<bool(int gateway, duration at)> runs = [](int, duration) { return true; };
    /// Changes the published entries; called each millisecond.
    std::function<void(upstream_list& fleet, duration at)> publish = [](upstream_list&, duration) {};
    std::uint64_t seed = 1;
};

/// A call that was sent, to its upstream or with a part of its prompt.
struct sent_call
{
    duration at{};
    int gateway = 0;
    int upstream = 0;
};

/// Runs a scenario; the same scenario gives the same results.
class outage_world
{
public:
    explicit outage_world(outage_scenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
    {
        fleet_config::parts parts;
        parts.version = 1;
        parts.services = {{"s", 50, 0s, 0.0, sample_profile()}};
        route_rule route;
        route.services = {{"s", 1}};
        route.tbt_target = 200ms;
        parts.routes = {route};
        fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
        for (int i = 0; i < scenario_.upstreams; ++i) {
            publish(i, 1, start);
        }
        for (int i = 0; i < scenario_.gateways; ++i) {
            gateways.push_back(std::make_unique<gateway>(i, domain_of(i)));
            gateways.back()->dispatcher.set_gateways(scenario_.gateways);
        }
    }

    /// Publishes an upstream's entry.
    void publish(int upstream, std::int64_t started_ms, instant now)
    {
        upstream_entry entry;
        entry.id = "u" + std::to_string(upstream);
        entry.service = "s";
        entry.failure_domain = domain_of(upstream);
        entry.slots = 12;
        entry.started_ms = started_ms;
        fleet.take("k" + entry.id, entry, now);
    }

    void run()
    {
        for (duration t{}; t < scenario_.length; t += 1ms) {
            scenario_.publish(fleet, t);
            while (!due_.empty() && due_.begin()->first <= start + t) {
                const auto action = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                action(start + t);
            }
            double calls = scenario_.calls_per_s * 1e-3;
            for (; calls >= 1.0 || random_.chance(calls); calls = std::max(calls - 1.0, 0.0)) {
                add_call(start + t);
            }
            for (const auto& each : gateways) {
                if (scenario_.runs(each->index, t)) {
                    step(*each, t);
                }
            }
        }
    }

    /// Number of calls that a gateway, or with -1 all gateways, sent to the upstreams of a domain.
    [[nodiscard]] auto sent_to(int domain, duration from, duration to, int gateway = -1) const -> int
    {
        return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const sent_call& call) {
            return call.upstream % scenario_.domains == domain && call.at >= from && call.at < to &&
                   (gateway < 0 || call.gateway == gateway);
        }));
    }
    /// Number of gateways that believed at any time that a domain was out.
    [[nodiscard]] auto believers(int domain) const -> int
    {
        return static_cast<int>(std::count_if(gateways.begin(), gateways.end(), [&](const auto& each) {
            return std::any_of(each->changes.begin(), each->changes.end(), [&](const outage_change& change) {
                return change.failure_domain == domain_of(domain) && change.step == outage_step::began;
            });
        }));
    }

    struct gateway
    {
        gateway(int number, const std::string& domain)
            : index(number)
            , name("g" + std::to_string(number))
            , failure_domain(domain)
            , dispatcher({domain, {10.0, 1000.0, 10s}, stable_hash(name)})
            , peers(name, name, {})
        {
        }

        int index;
        std::string name;
        std::string failure_domain;
        call_dispatcher dispatcher;
        peer_table peers;
        gossip_schedule schedule;
        std::uint64_t sequence = 0;
        int digests = 0;
        std::vector<outage_change> changes;
    };

    static constexpr instant start = instant(100s);
    static constexpr duration connect_timeout = 250ms;
    static constexpr duration answer_time = 20ms;
    upstream_list fleet;
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<sent_call> sent;

private:
    [[nodiscard]] auto domain_of(int number) const -> std::string
    {
        return "d" + std::to_string(number % scenario_.domains);
    }
    [[nodiscard]] auto reaches(const gateway& from, const upstream_entry& upstream, instant now) const -> bool
    {
        return scenario_.reaches(from.index, std::stoi(upstream.id.substr(1)), now - start);
    }

    void add_call(instant now)
    {
        gateway& chosen = *gateways[random_.below(gateways.size())];
        if (!scenario_.runs(chosen.index, now - start)) {
            return;
        }
        waiting_call call;
        call.id = ++calls_;
        call.service = "s";
        call.prompt_tokens = scenario_.prompt_tokens;
        call.answer_tokens = 100;
        call.tbt_target = 200ms;
        call.aim = 2s;
        call.latency_target_at = now + 2s;
        call.queue_timeout_at = now + 3s;
        call.client_timeout_at = now + 8s;
        call.deadline_at = now + 30s;
        open_calls_[call.id] = call;
        chosen.dispatcher.add(std::move(call));
    }

    void step(gateway& each, duration t)
    {
        const instant now = start + t;
        if (t % 100ms == duration((each.index % 100) * 1ms)) {
            each.dispatcher.report_suspects(fleet, now);
            each.dispatcher.tick(fleet, now);
            each.dispatcher.domains().update(fleet, each.peers, now);
            for (const outage_change& change : each.dispatcher.domains().take_changes()) {
                each.changes.push_back(change);
            }
            for (const std::string& gone : each.peers.expire_peers(now)) {
                each.dispatcher.remove_gateway(gone);
            }
        }
        for (const dispatch_assignment& order : each.dispatcher.decide(fleet, now).orders) {
            send(each, order, now);
        }
        send_digest(each, now);
    }

    void send(gateway& from, const dispatch_assignment& order, instant now)
    {
        sent.push_back({now - start, from.index, std::stoi(order.upstream.id.substr(1))});
        for (const prefill_engine& part : order.prefill_engines) {
            sent.push_back({now - start, from.index, std::stoi(part.upstream.id.substr(1))});
        }
        const auto lost =
            std::find_if(order.prefill_engines.begin(), order.prefill_engines.end(),
                         [&](const prefill_engine& part) { return !reaches(from, part.upstream, now); });
        if (!reaches(from, order.upstream, now)) {
            later(now + connect_timeout, [this, &from, order](instant at) {
                fail(from, order, order.upstream, attempt_end::not_sent, at);
            });
            return;
        }
        if (lost != order.prefill_engines.end()) {
            later(now + connect_timeout, [this, &from, order, helper = lost->upstream](instant at) {
                fail(from, order, helper, attempt_end::reader_lost, at);
            });
            return;
        }
        answer(from, order, now + answer_time, now + answer_time * 20);
    }

    /// Delivers the events of an answer; a stream at a lost upstream ends by itself at last.
    void answer(gateway& from, const dispatch_assignment& order, instant next, instant last)
    {
        later(next, [this, &from, order, last](instant at) {
            if (!reaches(from, order.upstream, at)) {
                later(at + 3s, [&from, order](instant end) { from.dispatcher.finish(order.placed, end); });
                return;
            }
            (void)from.dispatcher.event_received(order.placed, at);
            if (at < last) {
                answer(from, order, at + answer_time * 2, last);
                return;
            }
            from.dispatcher.health().record_success(order.upstream.id);
            from.dispatcher.finish(order.placed, at);
        });
    }

    void fail(gateway& from, const dispatch_assignment& order, const upstream_entry& at_fault,
              attempt_end end, instant now)
    {
        waiting_call& call = open_calls_.at(order.call);
        from.dispatcher.attempt_ended(order.upstream, at_fault, end, now);
        from.dispatcher.finish(order.placed, now);
        call.attempts.dispatched();
        call.attempts.ended(end, {at_fault.id, at_fault.failure_domain}, now);
        call.queue_timeout_at = call.deadline_at;
        from.dispatcher.add(call);
    }

    void send_digest(gateway& from, instant now)
    {
        digest_state state;
        state.gateways = scenario_.gateways;
        set_versions(state, from.dispatcher);
        const auto due = from.schedule.next(state, from.dispatcher.domains().take_urgent(now), now);
        if (!due) {
            return;
        }
        ++from.digests;
        peer_message message;
        message.digest.gateway = from.name;
        message.digest.address = from.name;
        message.digest.failure_domain = from.failure_domain;
        message.digest.sequence = ++from.sequence;
        message.report.gateway = from.name;
        message.report.sequence = from.sequence;
        add_reports(message, from.dispatcher, *due, now);
        for (const auto& other : gateways) {
            if (other.get() == &from || random_.chance(0.05)) {
                continue;
            }
            const duration delay = 1ms + duration(static_cast<duration::rep>(random_.below(10'000)));
            later(now + delay, [this, to = other.get(), message](instant at) {
                if (scenario_.runs(to->index, at - start)) {
                    (void)to->peers.take(message.digest, at);
                    take_reports(message, to->dispatcher, at);
                }
            });
        }
    }

    void later(instant at, std::function<void(instant)> action) { due_.emplace(at, std::move(action)); }

    outage_scenario scenario_;
    random_source random_;
    std::multimap<instant, std::function<void(instant)>> due_;
    std::map<std::uint64_t, waiting_call> open_calls_;
    std::uint64_t calls_ = 0;
};

} // namespace dragonflymill::direct
