#pragma once

#include "dragonflymill/admission/permit_controller.h"
#include "dragonflymill/core/random_source.h"

#include <algorithm>
#include <queue>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// An upstream fake for one run of the rig: what it carries over time, and how slow it is meanwhile.
struct upstream_course
{
    work_cost cold = 20'000;       ///< Work that it carries while cold.
    work_cost warm = 400'000;      ///< Work that it carries when warm.
    duration warming_begins = 20s; ///< Cold until then.
    duration warming_ends = 20s;   ///< Warm from then on; in between what it carries grows evenly.
    duration base = 30ms;          ///< Warm first-token time of an empty prompt.
    double us_per_token = 20;      ///< Further warm time for each token of prefill.
    duration decode = 400ms;       ///< Time from the first token to the end, when warm.
    duration cold_again = 10'000s; ///< From then on it is cold again, without a restart ...
    duration cold_again_for = 10s; ///< ... for so long, and then warm at once.
    double noise = 0.1;            ///< Share by which times vary up and down.
    double outliers = 0;           ///< Share of requests that take ten times as long.

    /// What it carries at `now`.
    [[nodiscard]] auto carries(instant now) const -> work_cost
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

    /// How many times slower than warm it is at `now`.
    [[nodiscard]] auto slowness(instant now) const -> double
    {
        return static_cast<double>(warm) / static_cast<double>(carries(now));
    }
};

/// Settings of a run.
struct cold_rig_options
{
    upstream_course course;         ///< The upstream.
    std::uint32_t gateways = 410;   ///< Gateways, all asking from the first moment.
    std::uint32_t asks_of_each = 1; ///< Requests that each has at a time.
    work_cost cost = 1'200;         ///< Cost of a request.
    token_count prefill = 1'000;    ///< Prefill of a request.
    cold_sign_options cold_sign;    ///< How many slow first tokens are a cold sign.
    bool expected_line = true;      ///< Whether the gate is told the warm first-token line.
    double expected_error = 1.0;    ///< Factor by which the line that it is told is wrong.
    duration length = 120s;         ///< Length of the run.
    std::uint64_t seed = 1;         ///< Seed of the noise.
};

/// What a run shows.
struct cold_rig_outcome
{
    std::uint64_t over_carried = 0;         ///< Grants after which more was outstanding than it carries.
    work_cost most_over = 0;                ///< The most by which it was.
    std::optional<duration> ninety_percent; ///< When 90 % of the warm work was first allowed.
    duration last_over{0};                  ///< When the last such grant was.
    std::uint64_t falls = 0;                ///< Falls of a gate that was open to 90 %.
    std::uint64_t granted = 0;              ///< Permits granted.
    std::uint64_t refused = 0;              ///< Asks refused.
    std::uint64_t most_asks_in_10ms = 0;    ///< The most asks in 10 ms after the first second.
    std::uint64_t trace = 0;                ///< Hash of every decision, to compare runs.

    friend auto operator==(const cold_rig_outcome&, const cold_rig_outcome&) -> bool = default;
};

/// Many gateways before one gate and one upstream fake, on a virtual clock.
class cold_rig
{
public:
    explicit cold_rig(cold_rig_options options)
        : options_(options)
        , random_(options.seed)
        , gate_(instant(), gate_options(options), options.seed)
    {
    }

    /// Runs to the end.
    auto run() -> cold_rig_outcome
    {
        for (std::uint32_t i = 0; i < options_.gateways * options_.asks_of_each; ++i) {
            events_.push({instant(), next_number_++, what::ask, lease_id(), i});
        }
        events_.push({instant(), next_number_++, what::tick, lease_id(), 0});
        while (!events_.empty() && events_.top().at < instant(options_.length)) {
            const event next = events_.top();
            events_.pop();
            handle(next);
        }
        return outcome_;
    }

private:
    enum class what
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
        what kind = what::ask;
        lease_id lease;
        std::uint32_t asker = 0;

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

    void later(instant at, what kind, lease_id lease, std::uint32_t asker)
    {
        events_.push({at, next_number_++, kind, lease, asker});
    }

    void handle(const event& next)
    {
        switch (next.kind) {
        case what::ask:
            ask(next);
            break;
        case what::first_token:
            gate_.first_token(next.at, next.lease);
            later(next.at + varied(next.at, options_.course.decode), what::end, next.lease, next.asker);
            break;
        case what::end:
            gate_.done(next.at, next.lease, work_outcome::success);
            later(next.at, what::ask, lease_id(), next.asker);
            break;
        case what::tick:
            static_cast<void>(gate_.tick(next.at));
            later(next.at + 100ms, what::tick, lease_id(), 0);
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
        count_ask(next.at);
        const process_id asker("gateway-" + std::to_string(next.asker % options_.gateways));
        const auto answer =
            gate_.ask(next.at, {asker, length_class::interactive, options_.cost, options_.prefill});
        if (const auto* refused = std::get_if<refusal>(&answer)) {
            ++outcome_.refused;
            note(static_cast<std::uint64_t>(refused->retry_after.count()));
            later(next.at + refused->retry_after, what::ask, lease_id(), next.asker);
            return;
        }
        const lease_id lease = std::get<permit>(answer).lease;
        ++outcome_.granted;
        note(lease.value());
        const work_cost over = gate_.load().outstanding - options_.course.carries(next.at);
        outcome_.over_carried += over > 0 ? 1 : 0;
        outcome_.most_over = std::max(outcome_.most_over, over);
        outcome_.last_over = over > 0 ? next.at.time_since_epoch() : outcome_.last_over;
        if (gate_.begin(next.at, lease)) {
            const double us = static_cast<double>(options_.course.base.count()) +
                              options_.course.us_per_token * static_cast<double>(options_.prefill);
            const duration warm_time(static_cast<duration::rep>(us));
            later(next.at + varied(next.at, warm_time), what::first_token, lease, next.asker);
        }
    }

    auto varied(instant now, duration warm_time) -> duration
    {
        const double slow =
            options_.course.outliers > 0 && random_.chance(options_.course.outliers) ? 10.0 : 1.0;
        const double factor = slow * (1.0 + options_.course.noise * (2.0 * random_.unit() - 1.0));
        const double us = static_cast<double>(warm_time.count()) * options_.course.slowness(now) * factor;
        return duration(static_cast<duration::rep>(us));
    }

    void count_ask(instant now)
    {
        const auto slot = now.time_since_epoch() / duration(10ms);
        asks_in_slot_ = slot == slot_ ? asks_in_slot_ + 1 : 1;
        slot_ = slot;
        if (now.time_since_epoch() > 1s) {
            outcome_.most_asks_in_10ms = std::max(outcome_.most_asks_in_10ms, asks_in_slot_);
        }
    }

    void note(std::uint64_t value) { outcome_.trace = (outcome_.trace ^ value) * 0x100000001b3ULL; }

    cold_rig_options options_;
    random_source random_;
    permit_controller gate_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    cold_rig_outcome outcome_;
    std::uint64_t next_number_ = 0;
    std::uint64_t asks_in_slot_ = 0;
    bool was_open_ = false;
    duration::rep slot_ = -1;
};

} // namespace dragonflymill::test
