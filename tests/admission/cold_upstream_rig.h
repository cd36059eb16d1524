#pragma once

#include "dragonflymill/admission/permit_controller.h"
#include "dragonflymill/core/random_source.h"

#include <algorithm>
#include <queue>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Simulated upstream of one run: its capacity and speed over time.
struct upstream_course
{
    work_cost cold = 20'000;       ///< Capacity while cold.
    work_cost warm = 400'000;      ///< Capacity when warm.
    duration warming_begins = 20s; ///< Time until which it is cold.
    duration warming_ends = 20s;   ///< Time from which it is warm; capacity grows linearly in between.
    duration base = 30ms;          ///< First-token time of an empty prompt when warm.
    double us_per_token = 20;      ///< Additional first-token time per token of prefill when warm.
    duration decode = 400ms;       ///< Time from the first token to the end when warm.
    duration cold_again = 10'000s; ///< Time at which it turns cold again without a restart.
    duration cold_again_for = 10s; ///< Length of that cold period; it is warm at once after it.
    double noise = 0.1;            ///< Relative variation of times in both directions.
    double outliers = 0;           ///< Share of requests that take ten times as long.

    /// Returns the capacity at `now`.
    [[nodiscard]] auto capacity(instant now) const -> work_cost
    {
        const duration age = now.time_since_epoch();
        const bool again = age >= cold_again && age < cold_again + cold_again_for;
        if (age < warming_begins || again) {
            return cold;
        }
        if (age >= warming_ends) {
            return warm;
        }
        const double share = static_cast<double>((age - warming_begins).count()) /
                             static_cast<double>((warming_ends - warming_begins).count());
        return cold + static_cast<work_cost>(static_cast<double>(warm - cold) * share);
    }

    /// Returns the slowdown against a warm upstream at `now`.
    [[nodiscard]] auto slowdown(instant now) const -> double
    {
        return static_cast<double>(warm) / static_cast<double>(capacity(now));
    }
};

/// Settings of a run.
struct cold_rig_options
{
    upstream_course course;         ///< The upstream.
    std::uint32_t gateways = 410;   ///< Number of gateways, all active from the start.
    std::uint32_t asks_of_each = 1; ///< Concurrent requests of each gateway.
    work_cost cost = 1'200;         ///< Cost of a request.
    token_count prefill = 1'000;    ///< Prefill of a request.
    cold_sign_options cold_sign;    ///< Settings of the cold sign.
    bool expected_line = true;      ///< Whether the warm first-token line is configured.
    double expected_error = 1.0;    ///< Error factor of the configured line.
    duration length = 120s;         ///< Length of the run.
    std::uint64_t seed = 1;         ///< Seed of the noise.
};

/// Result of a run.
struct cold_rig_outcome
{
    std::uint64_t over_carried = 0;         ///< Grants that raised outstanding work above capacity.
    work_cost most_over = 0;                ///< Maximum excess over the capacity.
    std::optional<duration> ninety_percent; ///< Time when 90 % of the warm capacity was first allowed.
    duration last_over{0};                  ///< Time of the last grant above capacity.
    std::uint64_t falls = 0;                ///< Resets from at least 90 % of the warm capacity.
    std::uint64_t granted = 0;              ///< Permits granted.
    std::uint64_t refused = 0;              ///< Refused requests.
    std::uint64_t most_asks_in_10ms = 0;    ///< Maximum requests in 10 ms after the first second.
    std::uint64_t trace = 0;                ///< Hash of all decisions, to compare runs.

    friend auto operator==(const cold_rig_outcome&, const cold_rig_outcome&) -> bool = default;
};

/// Simulates many gateways, one permit controller and one upstream on a virtual clock.
class cold_rig
{
public:
    explicit cold_rig(cold_rig_options options)
        : options_(options)
        , random_(options.seed)
        , gate_(instant(), gate_options(options), options.seed)
    {
    }

    /// Runs the simulation to its end.
    auto run() -> cold_rig_outcome
    {
        for (std::uint32_t i = 0; i < options_.gateways * options_.asks_of_each; ++i) {
            events_.push({instant(), next_number_++, event_kind::ask, lease_id(), i});
        }
        events_.push({instant(), next_number_++, event_kind::tick, lease_id(), 0});
        while (!events_.empty() && events_.top().at < instant(options_.length)) {
            const event next = events_.top();
            events_.pop();
            handle(next);
        }
        return outcome_;
    }

private:
    enum class event_kind
    {
        ask,
        first_token,
        end,
        tick,
    };
    struct event
    {
        instant at;
        std::uint64_t number = 0;
        event_kind kind = event_kind::ask;
        lease_id lease;
        std::uint32_t gateway = 0;

        auto operator>(const event& other) const -> bool
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static auto gate_options(const cold_rig_options& options) -> permit_controller_options
    {
        permit_controller_options result;
        result.ramp.floor = options.course.cold;
        result.ramp.ceiling = options.course.warm;
        result.lease_term = 60s;
        result.cold_sign = options.cold_sign;
        if (options.expected_line) {
            const auto base = static_cast<double>(options.course.base.count()) * options.expected_error;
            result.first_token.expected =
                first_token_line{duration(static_cast<duration::rep>(base)),
                                 options.course.us_per_token * options.expected_error};
        }
        return result;
    }

    void schedule(instant at, event_kind kind, lease_id lease, std::uint32_t gateway)
    {
        events_.push({at, next_number_++, kind, lease, gateway});
    }

    void handle(const event& next)
    {
        switch (next.kind) {
        case event_kind::ask:
            ask(next);
            break;
        case event_kind::first_token:
            gate_.first_token(next.at, next.lease);
            schedule(next.at + varied(next.at, options_.course.decode), event_kind::end, next.lease,
                     next.gateway);
            break;
        case event_kind::end:
            gate_.done(next.at, next.lease, work_outcome::success);
            schedule(next.at, event_kind::ask, lease_id(), next.gateway);
            break;
        case event_kind::tick:
            static_cast<void>(gate_.tick(next.at));
            schedule(next.at + 100ms, event_kind::tick, lease_id(), 0);
            break;
        }
        const bool most = gate_.load().allowed * 10 >= options_.course.warm * 9;
        outcome_.falls += was_open_ && gate_.load().allowed <= options_.course.cold ? 1 : 0;
        was_open_ = most;
        if (most && !outcome_.ninety_percent) {
            outcome_.ninety_percent = next.at.time_since_epoch();
        }
    }

    void ask(const event& next)
    {
        count_request(next.at);
        const process_id gateway("gateway-" + std::to_string(next.gateway % options_.gateways));
        const auto answer =
            gate_.ask(next.at, {gateway, length_class::interactive, options_.cost, options_.prefill});
        if (const auto* refused = std::get_if<refusal>(&answer)) {
            ++outcome_.refused;
            record(static_cast<std::uint64_t>(refused->retry_after.count()));
            schedule(next.at + refused->retry_after, event_kind::ask, lease_id(), next.gateway);
            return;
        }
        const lease_id lease = std::get<permit>(answer).lease;
        ++outcome_.granted;
        record(lease.value());
        const work_cost over = gate_.load().outstanding - options_.course.capacity(next.at);
        outcome_.over_carried += over > 0 ? 1 : 0;
        outcome_.most_over = std::max(outcome_.most_over, over);
        outcome_.last_over = over > 0 ? next.at.time_since_epoch() : outcome_.last_over;
        if (gate_.begin(next.at, lease)) {
            const double us = static_cast<double>(options_.course.base.count()) +
                              options_.course.us_per_token * static_cast<double>(options_.prefill);
            const duration warm_time(static_cast<duration::rep>(us));
            schedule(next.at + varied(next.at, warm_time), event_kind::first_token, lease, next.gateway);
        }
    }

    auto varied(instant now, duration warm_time) -> duration
    {
        const double slow =
            options_.course.outliers > 0 && random_.chance(options_.course.outliers) ? 10.0 : 1.0;
        const double factor = slow * (1.0 + options_.course.noise * (2.0 * random_.unit() - 1.0));
        const double us = static_cast<double>(warm_time.count()) * options_.course.slowdown(now) * factor;
        return duration(static_cast<duration::rep>(us));
    }

    void count_request(instant now)
    {
        const auto slot = now.time_since_epoch() / duration(10ms);
        requests_in_slot_ = slot == slot_ ? requests_in_slot_ + 1 : 1;
        slot_ = slot;
        if (now.time_since_epoch() > 1s) {
            outcome_.most_asks_in_10ms = std::max(outcome_.most_asks_in_10ms, requests_in_slot_);
        }
    }

    void record(std::uint64_t value) { outcome_.trace = (outcome_.trace ^ value) * 0x100000001b3ULL; }

    cold_rig_options options_;
    random_source random_;
    permit_controller gate_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    cold_rig_outcome outcome_;
    std::uint64_t next_number_ = 0;
    std::uint64_t requests_in_slot_ = 0;
    bool was_open_ = false;
    duration::rep slot_ = -1;
};

} // namespace dragonflymill::test
