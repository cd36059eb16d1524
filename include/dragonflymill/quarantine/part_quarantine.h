#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/quarantine/crash_evidence.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill {

/// Parts of prompts under which upstreams crash. Calls that contain all of them aren't sent.
struct quarantine
{
    prompt_parts parts;   ///< Those that every suspect call of these crashes has in common.
    int crashes = 0;      ///< Crashes at distinct times that support it.
    instant last_crash{}; ///< The latest of them.
    instant trial_at{};   ///< From when on a single call may be sent as a trial.
    instant ends_at{};    ///< When the evidence is too old, unless there is more until then.

    friend auto operator==(const quarantine&, const quarantine&) -> bool = default;
};

/// Whether a call may be sent.
struct quarantine_verdict
{
    bool allowed = true;     ///< Whether it may be sent.
    bool is_trial = false;   ///< It may, as the trial of a quarantine.
    duration retry_after{};  ///< Otherwise: time until it may be sent, unless something clears it before.
    bool is_request = false; ///< Otherwise: refused for its request, not for parts of its prompt.

    friend auto operator==(const quarantine_verdict&, const quarantine_verdict&) -> bool = default;
};

/// Decides which requests and which parts of prompts are quarantined, since upstreams crash under calls that
/// contain them.
///
/// Each crash has many suspects, as an upstream takes all of its calls with it, and most are sound. A part is
/// blamed if it was in suspect calls of several crashes at distinct times and no call that contains it was
/// answered since. A crash that a quarantine explains is no evidence against other parts. Parts that can't be
/// told apart, as they were in the same suspect calls, are quarantined together only: a call that contains
/// one of them is sent, and its outcome tells them apart.
///
/// A request under which several upstreams have ended, one after the other, is quarantined itself, whatever
/// its prompt has in common with others; see `count_consecutive_ends`.
///
/// A quarantine ends with a complete answer to a call that contains its parts, or with the age of its
/// evidence. So that an answer is possible, single calls are sent as trials, at growing intervals, by one
/// gateway of the fleet.
class part_quarantine
{
public:
    /// Evidence that decisions are based on.
    [[nodiscard]] auto evidence() -> crash_evidence& { return evidence_; }
    [[nodiscard]] auto evidence() const -> const crash_evidence& { return evidence_; }

    /// Sets this gateway's name and the names of the reachable gateways of its cell, one of which makes the
    /// trials of a quarantine. Gateways of other cells than the first one make none.
    void set_gateways(std::string self, std::vector<std::string> peers, bool in_first_cell);
    /// Removes evidence that is too old; to be called regularly.
    void tick(instant now);
    /// Applies new evidence to the quarantines, at most once in `update_interval`.
    void update(instant now);

    /// Returns whether a call may be sent. Every path that sends calls asks here, before it chooses an
    /// upstream and again before the first byte is sent.
    [[nodiscard]] auto check(const prompt_parts& parts, instant now) const -> quarantine_verdict;
    /// Records that a call which `check` has allowed as a trial is sent.
    void trial_sent(const prompt_parts& parts, instant now);
    /// Quarantines in force, those with the most crashes first.
    [[nodiscard]] auto quarantines() const -> const std::vector<quarantine>& { return quarantines_; }

    /// Number of crashes at distinct times from which on the parts that they have in common are quarantined.
    static constexpr int min_crashes = 3;
    /// The same for a part that was in suspect calls before and was cleared.
    static constexpr int min_crashes_after_clearing = 5;
    /// Number of crashes from which on a part is blamed though others are in suspect calls of as many
    /// crashes.
    static constexpr std::size_t max_undecided_crashes = 5;
    /// Number of distinct upstreams that must have crashed: a single one may be faulty itself.
    static constexpr std::size_t min_upstreams = 2;
    /// Crashes within this time count once: upstreams that end together have a common cause.
    static constexpr duration common_cause_window = 100ms;
    /// Maximum number of quarantines.
    static constexpr std::size_t max_quarantines = 8;
    /// Crashes of a quarantine, the first and the latest ones, that are kept when evidence is removed.
    static constexpr std::size_t max_kept_crashes = 12;
    /// Time in which calls that were sent before a quarantine began still crash upstreams.
    static constexpr duration settle_time = 1500ms;
    /// Time from the beginning of a quarantine to the first trial.
    static constexpr duration first_trial_delay = 2s;
    /// Times from the crash in a trial to the next trial; the last one is repeated.
    static constexpr duration second_trial_delay = 30s;
    static constexpr duration third_trial_delay = 5min;  ///< See `second_trial_delay`.
    static constexpr duration later_trial_delay = 10min; ///< See `second_trial_delay`.
    /// Time after a trial within which no other one is sent, whatever becomes of it.
    static constexpr duration trial_timeout = 15s;
    /// Minimum time between two evaluations of the evidence.
    static constexpr duration update_interval = 50ms;

private:
    /// A crash that no quarantine explains yet.
    struct open_crash
    {
        std::size_t index = 0; // in the evidence
        const upstream_crash* crash = nullptr;
    };

    /// The part in suspect calls of the most crashes.
    struct suspect_part
    {
        prompt_part part = 0;
        std::vector<instant> crashed_at; // distinct times, oldest first
        std::vector<prompt_part> equals; // parts in suspect calls of as many crashes
    };

    [[nodiscard]] auto open_crashes(instant now) const -> std::vector<open_crash>;
    [[nodiscard]] auto most_suspect(const std::vector<open_crash>& open,
                                    const std::set<prompt_part>& undecided) const
        -> std::optional<suspect_part>;
    [[nodiscard]] auto common_parts(prompt_part part, const std::vector<open_crash>& open) const
        -> prompt_parts;
    [[nodiscard]] auto make_quarantine(prompt_parts parts, const std::vector<instant>& crashed_at) const
        -> quarantine;
    void keep_crashes(const std::vector<open_crash>& explained);
    [[nodiscard]] auto find(const prompt_parts& parts) const -> const quarantine*;
    [[nodiscard]] auto blocked_until(const prompt_parts& parts, instant now) const -> instant;
    [[nodiscard]] auto makes_trials(const quarantine& found) const -> bool;

    crash_evidence evidence_;
    std::vector<quarantine> quarantines_;
    std::unordered_map<std::uint64_t, instant> trials_; // last trial, by hash of the parts
    std::string self_;
    std::vector<std::string> peers_;
    bool in_first_cell_ = true;
    std::uint64_t evaluated_changes_ = 0;
    instant evaluated_at_{};
};

} // namespace dragonflymill
