#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/direct/attempt_rules.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/gossip_schedule.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// A fleet of gateways before upstreams that state conditions of their own, on a virtual clock.
struct statement_scenario
{
    /// Limit that an upstream states at a time since the start; nothing: none.
    std::function<std::optional<double>(int upstream, duration since_start)> limit =
        [](int, duration) -> std::optional<double> { return std::nullopt; };
    /// Pushback with which an upstream rejects each call; zero: it accepts calls.
    std::function<duration(int upstream, duration since_start)> pushback = [](int, duration) { return 0us; };
    /// Whether an upstream states that it is draining.
    std::function<bool(int upstream, duration since_start)> draining = [](int, duration) { return false; };
    /// Called each millisecond; may change the published entries.
    std::function<void(upstream_list& fleet, duration since_start)> publish = [](upstream_list&, duration) {};
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

/// Returns the times of a response; the clocks of the tests' hosts show the same time.
inline auto response_at(instant sent_at, instant received_at) -> response_times
{
    return {sent_at, received_at, wall_instant(sent_at.time_since_epoch())};
}

/// Returns the start that an upstream publishes if it started at a time of the tests' clock.
inline auto started_ms_at(instant start) -> std::int64_t
{
    return start.time_since_epoch() / 1ms;
}

/// A call that reached an upstream.
struct upstream_arrival
{
    instant at{};
    int gateway = 0;
    int upstream = 0;
    instant called_at{}; ///< When its client sent it.
};

/// A pushback or drain that an upstream has stated to a gateway.
struct made_statement
{
    instant at{};
    int gateway = 0;
    int upstream = 0;
    duration pushback{};
    bool draining = false;
};

/// A refused call.
struct simulated_refusal
{
    instant at{};
    duration retry_after{};
};

/// Runs a scenario; the same scenario gives the same results.
class statement_simulation
{
public:
    explicit statement_simulation(statement_scenario scenario)
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
            entry.started_ms = 1;
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
            scenario_.publish(fleet, t);
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
    /// Returns the largest number of calls that a gateway sent to an upstream between half a second after a
    /// rejection with a pushback and the end of that pushback.
    [[nodiscard]] auto most_during_pushback() const -> int
    {
        std::ptrdiff_t most = 0;
        for (const made_statement& made : statements) {
            most = std::max(most, std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
                                return arrival.gateway == made.gateway && arrival.upstream == made.upstream &&
                                       arrival.at > made.at + 500ms && arrival.at < made.at + made.pushback;
                            }));
        }
        return static_cast<int>(most);
    }
    /// Returns how many calls a gateway sent to an upstream that had stated its drain to that gateway before
    /// the client sent the call.
    [[nodiscard]] auto calls_to_draining() const -> int
    {
        const auto is_late = [&](const upstream_arrival& arrival) {
            return std::any_of(statements.begin(), statements.end(), [&](const made_statement& made) {
                return made.draining && arrival.gateway == made.gateway &&
                       arrival.upstream == made.upstream && arrival.called_at > made.at + answer_time;
            });
        };
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), is_late));
    }
    /// Number of arrivals at an upstream between two times.
    [[nodiscard]] auto arrived(int upstream, instant from, instant to) const -> int
    {
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
            return arrival.upstream == upstream && arrival.at >= from && arrival.at < to;
        }));
    }

    static constexpr instant start = instant(100s);
    static constexpr duration answer_time = 20ms; ///< From sending a call to its response.
    upstream_list fleet;
    std::deque<call_dispatcher> gateways;
    std::vector<upstream_arrival> arrivals;
    std::vector<simulated_refusal> refusals;
    std::vector<made_statement> statements;

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
        open_calls_[call.id] = {call, now};
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
        const digest_state state{0, 0, scenario_.gateways, false,
                                 gateway.availability().rate_limits().version()};
        if (const auto due = schedules_[static_cast<std::size_t>(index)].next(state, false, now)) {
            send_reports(index, *due, now);
        }
    }

    void send(int index, const dispatch_assignment& order, instant now)
    {
        const int upstream = std::stoi(order.upstream.id.substr(1));
        arrivals.push_back({now, index, upstream, open_calls_.at(order.call).called_at});
        const duration pushback = scenario_.pushback(upstream, now - start);
        const bool draining = scenario_.draining(upstream, now - start);
        if (pushback > 0s || draining) {
            statements.push_back({now, index, upstream, pushback, draining});
        }
        upstream_statement statement;
        statement.rate.calls_per_s = scenario_.limit(upstream, now - start);
        statement.draining = draining;
        if (pushback > 0s) {
            statement.pushback.length = pushback;
        }
        later(now + answer_time, [this, index, order, statement, sent = now](instant at) {
            call_dispatcher& gateway = gateways[static_cast<std::size_t>(index)];
            gateway.finish(order.placed, at);
            (void)gateway.availability().record(order.upstream, statement, response_at(sent, at));
            if (statement.pushback.length) {
                on_rejected(gateway, order, at);
            }
        });
    }

    /// Tries the call again, as a gateway does.
    void on_rejected(call_dispatcher& gateway, const dispatch_assignment& order, instant now)
    {
        waiting_call& call = open_calls_.at(order.call).call;
        gateway.health().record_end(order.upstream.id, attempt_end::rejected, now);
        call.attempts.dispatched();
        call.attempts.ended(attempt_end::rejected, {order.upstream.id, order.upstream.failure_domain}, now);
        request_progress progress;
        progress.repeatable = true;
        progress.rejections = call.attempts.rejections();
        progress.max_attempts = 2;
        progress.time_left = call.deadline_at - now;
        progress.budget_left = gateway.retry_allowed(call.service, now);
        if (decide_next_step(attempt_end::rejected, progress) != next_step::try_again) {
            refusals.push_back({now, gateway.retry_after(fleet, call, now)});
            return;
        }
        call.queue_timeout_at = call.deadline_at - min_attempt_time;
        gateway.add(call);
    }

    void send_reports(int index, const due_digest& due, instant now)
    {
        const shared_rate_limits& limits =
            gateways[static_cast<std::size_t>(index)].availability().rate_limits();
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
            (void)gateways[static_cast<std::size_t>(to)].availability().apply_rate_limit_report(
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

    struct open_call
    {
        waiting_call call;
        instant called_at{};
    };

    statement_scenario scenario_;
    random_source random_;
    std::multimap<instant, std::function<void(instant)>> due_;
    std::vector<gossip_schedule> schedules_;
    std::map<std::uint64_t, open_call> open_calls_;
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
