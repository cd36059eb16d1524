#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/quarantine/part_quarantine.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill {

/// Part of a prompt with a number that is at least 1.
constexpr auto shared_part(std::uint64_t number) -> prompt_part
{
    return make_prompt_part(number * 2, false);
}

/// Own part of the prompt of a call or session.
constexpr auto own_part(std::uint64_t number) -> prompt_part
{
    return make_prompt_part(number * 2, true);
}

/// Returns the parts, sorted.
inline auto sorted(prompt_parts parts) -> prompt_parts
{
    std::sort(parts.begin(), parts.end());
    return parts;
}

/// A fleet of gateways before upstreams that end under calls, on a virtual clock. Gateways report evidence to
/// each other with a delay; reports may be lost.
struct fleet_scenario
{
    int gateways = 4;
    int upstreams = 14;
    double calls_per_s = 40.0;
    duration length = 40s;
    duration call_time = 300ms;      ///< From sending to the complete answer.
    duration onset = 150ms;          ///< From sending to the crash of an upstream.
    duration restart_time = 2s;      ///< From a crash to the next run of the upstream.
    duration report_interval = 50ms; ///< Time between reports of a gateway.
    double report_loss = 0.05;
    int sessions = 200; ///< Sessions of sound calls; each has a part of its own, and shares a first one.
    /// Parts that crash upstreams.
    std::vector<prompt_part> crashing;
    /// Share of the calls that contain one of them, at a time since the start.
    std::function<double(duration since_start)> crashing_share = [](duration) { return 0.0; };
    /// Time of the first of the requests that crash upstreams, which then come once in each interval; zero:
    /// none.
    duration fatal_interval{};
    /// How often a caller repeats a request that failed, each time at any gateway.
    int repetitions = 0;
    duration return_time = 15ms; ///< From the failure to the next repetition.
    /// Upstreams that end at a time without regard to calls.
    std::function<std::vector<int>(duration since_start)> lost = [](duration) { return std::vector<int>(); };
    /// Upstreams that break the connection of a call though they go on, as a share of their calls.
    std::function<double(int upstream)> broken_share = [](int) { return 0.0; };
    std::uint64_t seed = 1;
};

/// What happened in a fleet.
struct fleet_outcome
{
    /// What became of a part that crashes upstreams.
    struct part_outcome
    {
        std::vector<instant> crashes; ///< Under calls with the part.
        std::vector<instant> sent;    ///< Calls with it that were sent to upstreams.
    };
    std::map<prompt_part, part_outcome>
        parts;                           ///< Parts that crash upstreams, and own parts of such requests.
    int sound_calls = 0;                 ///< Sound calls, each counted once.
    int sound_refused = 0;               ///< Of these, the ones refused as quarantined.
    std::size_t most_reported_parts = 0; ///< In a single report.
    int sound_repeated = 0;              ///< Sound calls that were repeated at least once.

    /// Most upstreams that crashed under one part.
    [[nodiscard]] auto most_crashes() const -> std::size_t
    {
        std::size_t most = 0;
        for (const auto& [part, outcome] : parts) {
            most = std::max(most, outcome.crashes.size());
        }
        return most;
    }

    /// Most calls with one crashing part that were sent later than `time` after the fifth crash under it.
    [[nodiscard]] auto sent_after_fifth_crash(duration time) const -> int
    {
        std::ptrdiff_t most = 0;
        for (const auto& [part, outcome] : parts) {
            const std::vector<instant>& crashes = outcome.crashes;
            if (crashes.size() >= 5) {
                most = std::max(most, std::count_if(outcome.sent.begin(), outcome.sent.end(),
                                                    [&](instant at) { return at > crashes[4] + time; }));
            }
        }
        return static_cast<int>(most);
    }
    /// Crashes under all crashing parts.
    [[nodiscard]] auto crash_count() const -> int
    {
        std::size_t count = 0;
        for (const auto& [part, outcome] : parts) {
            count += outcome.crashes.size();
        }
        return static_cast<int>(count);
    }
};

/// Plays a scenario.
class quarantine_fleet
{
public:
    explicit quarantine_fleet(fleet_scenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
        , gateways_(static_cast<std::size_t>(scenario_.gateways))
        , upstreams_(static_cast<std::size_t>(scenario_.upstreams))
    {
        set_names();
    }

    [[nodiscard]] auto play() -> fleet_outcome
    {
        for (duration since{}; since < scenario_.length; since += step) {
            now_ = start + since;
            for (const int lost : scenario_.lost(since)) {
                end_upstream(static_cast<std::size_t>(lost));
            }
            send_events();
            end_calls();
            if (chance(scenario_.calls_per_s * std::chrono::duration<double>(step).count())) {
                arrive(since);
            }
            if (scenario_.fatal_interval > 0s && since > 0s && since % scenario_.fatal_interval == 0s) {
                arrive_fatal();
            }
            return_callers();
            report();
        }
        return outcome_;
    }

    /// Evidence and quarantines of a gateway.
    [[nodiscard]] auto gateway(std::size_t index) -> part_quarantine& { return gateways_[index].parts; }
    /// Virtual time.
    [[nodiscard]] auto now() const -> instant { return now_; }

    static constexpr duration step = 1ms;
    static constexpr duration event_interval = 50ms; ///< Of the answer of a running call.
    static constexpr instant start{1h};

private:
    struct gateway_state
    {
        part_quarantine parts;
        std::uint64_t reported = 0;
        std::uint64_t reported_before = 0;
        instant reports_at{};
        instant complete_at{};
    };
    struct upstream_state
    {
        upstream_run run = 0;
        instant up_at{};
    };
    struct running_call
    {
        std::size_t gateway = 0;
        std::size_t upstream = 0;
        upstream_run run = 0;
        prompt_parts parts;
        prompt_part crashing = 0; // 0: a sound call
        instant ends_at{};
        instant next_event_at{};
        instant sent_at{};
        int attempts = 1;
        int repetitions = 0;
    };
    struct returning_caller
    {
        instant at{};
        running_call call;
    };

    auto chance(double share) -> bool { return static_cast<double>(random_.below(1'000'000)) < share * 1e6; }
    auto pick(std::size_t count) -> std::size_t { return random_.below(count); }

    void set_names()
    {
        const auto name = [](std::size_t index) { return "g" + std::to_string(index); };
        for (std::size_t index = 0; index < gateways_.size(); ++index) {
            std::vector<std::string> peers;
            for (std::size_t other = 0; other < gateways_.size(); ++other) {
                if (other != index) {
                    peers.push_back(name(other));
                }
            }
            gateways_[index].parts.set_gateways(name(index), std::move(peers), true);
        }
        for (upstream_state& upstream : upstreams_) {
            upstream.run = ++last_run_;
        }
    }

    void arrive(duration since)
    {
        running_call call;
        call.gateway = pick(gateways_.size());
        const std::uint64_t session = 1 + pick(static_cast<std::size_t>(scenario_.sessions));
        call.parts = {shared_part(1), shared_part(1000 + session), own_part(++last_call_)};
        if (!scenario_.crashing.empty() && chance(scenario_.crashing_share(since))) {
            call.crashing = scenario_.crashing[pick(scenario_.crashing.size())];
            call.parts.push_back(call.crashing);
        }
        call.parts = sorted(call.parts);
        outcome_.sound_calls += call.crashing == 0 ? 1 : 0;
        send(std::move(call));
    }

    void arrive_fatal()
    {
        running_call call;
        call.gateway = pick(gateways_.size());
        call.crashing = own_part(++last_call_);
        call.parts = sorted({shared_part(1), call.crashing});
        send(std::move(call));
    }

    void return_callers()
    {
        std::vector<running_call> due;
        std::erase_if(returning_, [&](const returning_caller& caller) {
            const bool is_due = now_ >= caller.at;
            if (is_due) {
                due.push_back(caller.call);
            }
            return is_due;
        });
        for (running_call& call : due) {
            call.gateway = pick(gateways_.size());
            call.attempts = 1;
            ++call.repetitions;
            outcome_.sound_repeated += call.crashing == 0 && call.repetitions == 1 ? 1 : 0;
            send(std::move(call));
        }
    }

    void send(running_call call)
    {
        part_quarantine& parts = gateways_[call.gateway].parts;
        parts.update(now_);
        const quarantine_verdict verdict = parts.check(call.parts, now_);
        if (!verdict.allowed) {
            outcome_.sound_refused += call.crashing == 0 ? 1 : 0;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t index = 0; index < upstreams_.size(); ++index) {
            if (now_ >= upstreams_[index].up_at) {
                up.push_back(index);
            }
        }
        if (up.empty()) {
            return;
        }
        if (verdict.is_trial) {
            parts.trial_sent(call.parts, now_);
        }
        if (call.crashing != 0) {
            outcome_.parts[call.crashing].sent.push_back(now_);
        }
        call.upstream = up[pick(up.size())];
        call.run = upstreams_[call.upstream].run;
        call.ends_at = now_ + (call.crashing != 0 ? scenario_.onset : scenario_.call_time);
        call.next_event_at = now_ + scenario_.onset;
        call.sent_at = now_;
        running_.push_back(std::move(call));
    }

    void send_events()
    {
        for (running_call& call : running_) {
            if (now_ >= call.next_event_at && upstreams_[call.upstream].run == call.run) {
                gateways_[call.gateway].parts.evidence().record_sign_of_life(call.run, now_);
                call.next_event_at = now_ + event_interval;
            }
        }
    }

    void end_calls()
    {
        std::vector<running_call> due;
        std::erase_if(running_, [&](const running_call& call) {
            const bool is_due = now_ >= call.ends_at;
            if (is_due) {
                due.push_back(call);
            }
            return is_due;
        });
        for (running_call& call : due) {
            const bool is_gone = upstreams_[call.upstream].run != call.run;
            if (!is_gone && call.crashing != 0) {
                outcome_.parts[call.crashing].crashes.push_back(now_);
                const std::size_t upstream = call.upstream;
                running_.push_back(std::move(call));
                end_upstream(upstream);
            }
            else if (is_gone || chance(scenario_.broken_share(static_cast<int>(call.upstream)))) {
                lose(std::move(call));
            }
            else {
                crash_evidence& evidence = gateways_[call.gateway].parts.evidence();
                evidence.record_sign_of_life(call.run, now_);
                evidence.record_answer(call.parts, now_);
            }
        }
    }

    void lose(running_call call)
    {
        gateways_[call.gateway].parts.evidence().record_lost_call(
            {call.run, call.parts, duration::zero(), now_ - call.sent_at}, now_);
        if (call.attempts < 2) {
            ++call.attempts;
            send(std::move(call));
        }
        else if (call.repetitions < scenario_.repetitions) {
            returning_.push_back({now_ + scenario_.return_time, std::move(call)});
        }
    }

    void end_upstream(std::size_t index)
    {
        upstream_state& upstream = upstreams_[index];
        std::vector<running_call> lost;
        std::erase_if(running_, [&](const running_call& call) {
            const bool is_lost = call.upstream == index && call.run == upstream.run;
            if (is_lost) {
                lost.push_back(call);
            }
            return is_lost;
        });
        upstream.run = ++last_run_;
        upstream.up_at = now_ + scenario_.restart_time;
        for (running_call& call : lost) {
            lose(std::move(call));
        }
    }

    void report()
    {
        for (std::size_t index = 0; index < gateways_.size(); ++index) {
            gateway_state& sender = gateways_[index];
            if (now_ < sender.reports_at) {
                continue;
            }
            sender.reports_at = now_ + scenario_.report_interval;
            sender.parts.tick(now_);
            const bool complete = now_ >= sender.complete_at;
            if (!complete && sender.parts.evidence().version() == sender.reported_before) {
                continue;
            }
            sender.complete_at = complete ? now_ + 1s : sender.complete_at;
            const evidence_report report = sender.parts.evidence().reports(
                now_, complete ? std::nullopt : std::optional(sender.reported_before));
            sender.reported_before = std::exchange(sender.reported, sender.parts.evidence().version());
            deliver(index, report);
        }
    }

    void deliver(std::size_t sender, const evidence_report& report)
    {
        std::size_t parts = 0;
        for (const crash_report& crash : report.crashes) {
            for (const reported_call& call : crash.calls) {
                parts += call.parts.size();
            }
        }
        outcome_.most_reported_parts = std::max(outcome_.most_reported_parts, parts);
        for (std::size_t index = 0; index < gateways_.size(); ++index) {
            if (index != sender && !report.empty() && !chance(scenario_.report_loss)) {
                gateways_[index].parts.evidence().apply(report, report_origin::same_cell, now_);
            }
        }
    }

    fleet_scenario scenario_;
    random_source random_;
    std::vector<gateway_state> gateways_;
    std::vector<upstream_state> upstreams_;
    std::vector<running_call> running_;
    std::vector<returning_caller> returning_;
    fleet_outcome outcome_;
    instant now_ = start;
    upstream_run last_run_ = 0;
    std::uint64_t last_call_ = 0;
};

} // namespace dragonflymill
