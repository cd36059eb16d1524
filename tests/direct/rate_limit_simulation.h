#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/gossip_schedule.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// A fleet of gateways before upstreams that state rate limits, on a virtual clock.
struct rate_limit_scenario
{
    /// Limit that an upstream states at a time since the start; nothing: none.
    std::function<std::optional<double>(int upstream, duration since_start)> limit;
    int gateways = 4;
    int upstreams = 4;
    double calls_per_s = 40.0; ///< Of all callers together.
    duration length = 20s;
    duration queue_time = 300ms; ///< Time for which a call may be queued.
    /// Part of a partitioned fleet in which a gateway is; reports between parts are lost.
    std::function<int(int gateway, duration since_start)> side = [](int, duration) { return 0; };
    /// Whether a gateway does nothing; what it receives is handled afterwards.
    std::function<bool(int gateway, duration since_start)> frozen = [](int, duration) { return false; };
    double report_loss = 0.05;
    std::uint64_t seed = 1;
};

/// A call that reached an upstream.
struct upstream_arrival
{
    instant at{};
    int gateway = 0;
    int upstream = 0;
};

/// A refused call.
struct simulated_refusal
{
    instant at{};
    duration retry_after{};
};

/// Runs a scenario; the same scenario gives the same results.
class rate_limit_simulation
{
public:
    explicit rate_limit_simulation(rate_limit_scenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
    {
        fleet_config::parts parts;
        parts.version = 1;
        parts.services = {{"bookings", 50, 0s, 0.0, std::nullopt}};
        fleet.take("config", std::make_shared<const fleet_config>(std::move(parts)), start);
        for (int i = 0; i < scenario_.upstreams; ++i) {
            upstream_entry entry;
            entry.id = "u" + std::to_string(i);
            entry.service = "bookings";
            entry.failure_domain = "a";
            entry.slots = 1000;
            fleet.take("k" + entry.id, entry, start);
        }
        for (int i = 0; i < scenario_.gateways; ++i) {
            gateways.emplace_back(
                dispatch_settings{"a", {0.2, 100.0, 10s}, stable_hash("gateway" + std::to_string(i))});
            gateways.back().set_gateways(scenario_.gateways);
            schedules_.emplace_back();
        }
    }

    void run()
    {
        constexpr duration step = 1ms;
        for (duration t{}; t < scenario_.length; t += step) {
            const instant now = start + t;
            deliver(now);
            if (random_.chance(scenario_.calls_per_s * 1e-3)) {
                add_call(now);
            }
            for (int i = 0; i < scenario_.gateways; ++i) {
                // Gateways act at different milliseconds, as real ones do.
                if (!scenario_.frozen(i, t)) {
                    step_gateway(i, now);
                }
            }
        }
    }

    /// Returns the largest number of arrivals at an upstream in any four seconds from `from` on, without
    /// those of the gateway `except`.
    [[nodiscard]] auto most_in_window(int upstream, instant from, int except = -1) const -> int
    {
        std::deque<instant> window;
        std::size_t most = 0;
        for (const upstream_arrival& arrival : arrivals) {
            if (arrival.upstream != upstream || arrival.at < from || arrival.gateway == except) {
                continue;
            }
            window.push_back(arrival.at);
            while (arrival.at - window.front() >= 4s) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return static_cast<int>(most);
    }
    /// Number of arrivals at an upstream between two times.
    [[nodiscard]] auto arrived(int upstream, instant from, instant to) const -> int
    {
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
            return arrival.upstream == upstream && arrival.at >= from && arrival.at < to;
        }));
    }

    static constexpr instant start = instant(100s);
    upstream_list fleet;
    std::deque<call_dispatcher> gateways;
    std::vector<upstream_arrival> arrivals;
    std::vector<simulated_refusal> refusals;

private:
    void add_call(instant now)
    {
        waiting_call call;
        call.id = ++calls_;
        call.service = "bookings";
        call.aim = scenario_.queue_time;
        call.latency_target_at = now + scenario_.queue_time;
        call.queue_timeout_at = now + scenario_.queue_time;
        call.client_timeout_at = now + 10s;
        call.deadline_at = now + 10s;
        gateways[random_.below(gateways.size())].add(std::move(call));
    }

    void step_gateway(int index, instant now)
    {
        call_dispatcher& gateway = gateways[static_cast<std::size_t>(index)];
        const auto round = gateway.decide(fleet, now);
        for (const dispatch_assignment& order : round.orders) {
            send(index, order, now);
        }
        for (const dispatch_refusal& refusal : round.refusals) {
            refusals.push_back({now, refusal.retry_after});
        }
        const digest_state state{0, 0, scenario_.gateways, false, gateway.rate_limits().version()};
        if (const auto due = schedules_[static_cast<std::size_t>(index)].next(state, false, now)) {
            send_reports(index, *due, now);
        }
    }

    void send(int index, const dispatch_assignment& order, instant now)
    {
        const int upstream = std::stoi(order.upstream.id.substr(1));
        arrivals.push_back({now, index, upstream});
        const rate_statement statement{true, scenario_.limit(upstream, now - start)};
        later(now + 20ms, [this, index, order, statement, sent = now](instant at) {
            call_dispatcher& gateway = gateways[static_cast<std::size_t>(index)];
            gateway.finish(order.placed, at);
            (void)gateway.record_rate_statement(order.upstream, statement, sent, at);
        });
    }

    void send_reports(int index, const due_digest& due, instant now)
    {
        const shared_rate_limits& limits = gateways[static_cast<std::size_t>(index)].rate_limits();
        const auto reports = due.whole ? limits.reports(now, ++rounds_)
                                       : limits.reports(now, ++rounds_, due.rate_limit_changes_since);
        if (reports.empty()) {
            return;
        }
        for (int other = 0; other < scenario_.gateways; ++other) {
            const bool lost = other == index ||
                              scenario_.side(index, now - start) != scenario_.side(other, now - start) ||
                              random_.chance(scenario_.report_loss);
            if (lost) {
                continue;
            }
            const duration delay = 2ms + duration(static_cast<duration::rep>(random_.below(20'000)));
            later(now + delay,
                  [this, index, other, reports](instant at) { receive(index, other, reports, at); });
        }
    }

    void receive(int from, int to, const std::vector<rate_limit_report>& reports, instant now)
    {
        if (scenario_.frozen(to, now - start)) {
            later(now + 1ms, [this, from, to, reports](instant at) { receive(from, to, reports, at); });
            return;
        }
        for (const rate_limit_report& report : reports) {
            (void)gateways[static_cast<std::size_t>(to)].apply_rate_limit_report(
                "gateway" + std::to_string(from), report, now);
        }
    }

    void later(instant at, std::function<void(instant)> action) { due_.emplace(at, std::move(action)); }

    void deliver(instant now)
    {
        while (!due_.empty() && due_.begin()->first <= now) {
            const auto action = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            action(now);
        }
    }

    rate_limit_scenario scenario_;
    random_source random_;
    std::multimap<instant, std::function<void(instant)>> due_;
    std::vector<gossip_schedule> schedules_;
    std::uint64_t calls_ = 0;
    std::uint64_t rounds_ = 0;
};

/// Arrivals that an upstream with a limit may get in four seconds: one and a half times what the limit
/// allows, and five.
inline auto allowed_in_window(double calls_per_s) -> double
{
    return 1.5 * 4.0 * calls_per_s + 5.0;
}

} // namespace dragonflymill::direct
