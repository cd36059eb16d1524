#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflymill {

/// Identifies a part of a prompt within a service, or a request; made by `make_prompt_part`.
using prompt_part = std::uint64_t;

/// Returns the part with a hash. `own` is set for what only this call or its session has: the last part of a
/// prompt, and the request itself.
[[nodiscard]] constexpr auto make_prompt_part(std::uint64_t hash, bool own) -> prompt_part
{
    return own ? hash | 1U : hash & ~std::uint64_t{1};
}
/// Returns whether only one call or session has the part.
[[nodiscard]] constexpr auto is_own_part(prompt_part part) -> bool
{
    return (part & 1U) != 0;
}

/// Parts of the prompt of one call, and its request, sorted and without repetitions.
using prompt_parts = std::vector<prompt_part>;

/// Returns those that only the call or its session has.
[[nodiscard]] auto own_parts(const prompt_parts& parts) -> prompt_parts;
/// Returns the parts with the request that has this hash.
[[nodiscard]] auto with_request(prompt_parts parts, std::uint64_t request_hash) -> prompt_parts;

/// How an upstream ended a call without a complete answer.
enum class call_loss
{
    closed,  ///< It closed the connection.
    silence, ///< It was silent for too long, or sent bytes that can't be used.
};

/// A call that ended without a complete answer.
struct lost_call
{
    upstream_run upstream = 0;          ///< Run that it was sent to.
    prompt_parts parts;                 ///< Its parts.
    duration writing_for{};             ///< Time since the first event of its answer; zero before it.
    duration in_flight{};               ///< Time since it was sent.
    call_loss loss = call_loss::closed; ///< How it ended.

    friend auto operator==(const lost_call&, const lost_call&) -> bool = default;
};

/// A call that an upstream ended under, as gateways report it.
struct reported_call
{
    prompt_parts parts;   ///< Its parts.
    duration in_flight{}; ///< From sending to the end.

    friend auto operator==(const reported_call&, const reported_call&) -> bool = default;
};

/// What a gateway reports of the crash of an upstream to the other gateways.
struct crash_report
{
    upstream_run upstream = 0;        ///< Run that ended.
    duration age{};                   ///< Time since its connections broke.
    bool survived = false;            ///< It has answered since, so that it hasn't crashed.
    std::vector<reported_call> calls; ///< Calls of the gateway that it ended under.

    friend auto operator==(const crash_report&, const crash_report&) -> bool = default;
};

/// Reports that a call with a part was answered completely.
struct cleared_part_report
{
    prompt_part part = 0; ///< The part.
    duration age{};       ///< Time since the end of that answer.

    friend auto operator==(const cleared_part_report&, const cleared_part_report&) -> bool = default;
};

/// Evidence for and against parts of prompts, as gateways exchange it.
struct evidence_report
{
    std::vector<crash_report> crashes;        ///< Newest first.
    std::vector<cleared_part_report> cleared; ///< Newest first.

    /// Whether it reports nothing.
    [[nodiscard]] auto empty() const -> bool { return crashes.empty() && cleared.empty(); }

    friend auto operator==(const evidence_report&, const evidence_report&) -> bool = default;
};

/// Where a report comes from.
enum class report_origin
{
    same_cell,  ///< All gateways of this cell receive it.
    other_cell, ///< Only this gateway of the cell has received it, and reports it to the others.
};

/// A call that an upstream ended under.
struct suspect_call
{
    prompt_parts parts;     ///< Its parts.
    duration in_flight{};   ///< From sending to the end.
    bool announced = false; ///< Whether this gateway reports it.

    friend auto operator==(const suspect_call&, const suspect_call&) -> bool = default;
};

/// The end of an upstream under calls of the fleet.
struct upstream_crash
{
    upstream_run upstream = 0;       ///< Run that ended.
    instant at{};                    ///< When its connections broke.
    bool survived = false;           ///< It has answered since: its connections broke for another reason.
    bool in_use = false;             ///< Supports a quarantine, and is removed last.
    std::uint64_t changed = 0;       ///< Version of the last change that this gateway reports; 0: none.
    std::vector<suspect_call> calls; ///< Calls that it ended under.

    friend auto operator==(const upstream_crash&, const upstream_crash&) -> bool = default;
};

/// Knows under which calls upstreams crashed, and which parts of prompts were served since.
///
/// A crash takes all calls of its upstream with it, and each gateway sees its own ones only, so the gateways
/// report to each other the calls that they lost. A complete answer clears the parts of its prompt of all
/// earlier crashes. An upstream that goes on answering hasn't crashed: its connections broke for another
/// reason.
class crash_evidence
{
public:
    /// Records that a call ended without a complete answer. All of its parts are suspect if the upstream
    /// closed the connection before it had been writing the answer for longer than `max_onset`. Otherwise
    /// only those that no other call has: a lost host or a cut link looks the same, but not at one upstream
    /// after the other. None is suspect once the answer had been written for longer than `max_request_onset`.
    void record_lost_call(const lost_call& call, instant now);
    /// Records that an engine which was to prefill a part of a call's prompt, or held memory for it, failed.
    /// The call is suspect if the engine is known to have crashed since the call was sent at `sent_at`:
    /// others were lost before, or reject for reasons of their own.
    void record_lost_prefill(upstream_run engine, const prompt_parts& parts, instant sent_at);
    /// Records that a call was answered completely.
    void record_answer(const prompt_parts& parts, instant now);
    /// Records that an upstream sent any byte of a valid response.
    void record_sign_of_life(upstream_run upstream, instant now);
    /// Applies another gateway's report.
    void apply(const evidence_report& report, report_origin origin, instant now);
    /// Removes evidence that is too old.
    void expire(instant now);

    /// Returns what this gateway reports to its cell: all that isn't older than `repeat_time`, or the changes
    /// after version `since`. Bounded to fit into a relay's batch of digests.
    [[nodiscard]] auto reports(instant now, std::optional<std::uint64_t> since = std::nullopt) const
        -> evidence_report;
    /// Returns all that is known from any gateway, what supports a quarantine first, for a gateway that is
    /// heard for the first time.
    [[nodiscard]] auto known(instant now) const -> evidence_report { return known_since(max_age, now); }
    /// Returns the same for another cell: what supports a quarantine, and what isn't older than
    /// `repeat_time`.
    [[nodiscard]] auto known_lately(instant now) const -> evidence_report
    {
        return known_since(repeat_time, now);
    }
    /// Increases when the other gateways should learn of a change.
    [[nodiscard]] auto version() const -> std::uint64_t { return version_; }
    /// Increases with each change of the evidence.
    [[nodiscard]] auto changes() const -> std::uint64_t { return changes_; }

    /// Returns whether a call with the part was answered completely after `crashed_at`.
    [[nodiscard]] auto cleared(prompt_part part, instant crashed_at) const -> bool;
    /// Returns whether the part is in a call that an upstream ended under.
    [[nodiscard]] auto is_suspect(prompt_part part) const -> bool { return last_crash_of_.contains(part); }
    /// Returns whether the part was cleared of any known crash.
    [[nodiscard]] auto was_cleared(prompt_part part) const -> bool { return cleared_.contains(part); }
    /// Known crashes, oldest first.
    [[nodiscard]] auto crashes() const -> const std::vector<upstream_crash>& { return crashes_; }
    /// Sets whether a crash supports a quarantine.
    void set_in_use(std::size_t crash, bool in_use) { crashes_[crash].in_use = in_use; }

    /// Age from which on evidence doesn't count.
    static constexpr duration max_age = 10min;
    /// Time from the first event of an answer within which its prompt may still crash the upstream. A prompt
    /// has been read by then, and the first iterations of decoding have used all of its parts.
    static constexpr duration max_onset = 1s;
    /// The same for the request itself. Long streams outlive several upstreams in a day of restarts.
    static constexpr duration max_request_onset = 5s;
    /// Time for which evidence is repeated. Gateways that were out of reach for longer get all of it when
    /// they are heard again.
    static constexpr duration repeat_time = 15s;
    /// Maximum number of crashes that are kept.
    static constexpr std::size_t max_crashes = 64;
    /// Maximum number of calls that are kept of a crash.
    static constexpr std::size_t max_calls = 32;
    /// Parts of a prompt that are considered; further ones are ignored.
    static constexpr std::size_t max_parts = 16;
    /// Maximum number of parts of a call: those of its prompt and its request.
    static constexpr std::size_t max_call_parts = max_parts + 1;
    /// Connections that break within this time of each other broke in the same crash.
    static constexpr duration same_crash_window = 1500ms;
    /// An answer that arrives this long after the crash was not on its way before; a restart takes longer
    /// than `survival_end`.
    static constexpr duration survival_begin = 250ms;
    static constexpr duration survival_end = 1s; ///< End of the time in which an answer shows survival.
    /// Maximum numbers in a digest to the own cell: parts, crashes and cleared parts.
    static constexpr std::size_t max_reported_parts = 96;
    static constexpr std::size_t max_reported_crashes = 16; ///< See `max_reported_parts`.
    static constexpr std::size_t max_reported_cleared = 24; ///< See `max_reported_parts`.
    static constexpr std::size_t max_known_parts = 512;     ///< The same for `known`.
    static constexpr std::size_t max_known_cleared = 128;   ///< The same for `known`.

private:
    struct clearing
    {
        instant at{};
        std::uint64_t changed = 0; // version of the change that this gateway reports; 0: none
    };

    [[nodiscard]] auto known_since(duration oldest, instant now) const -> evidence_report;
    [[nodiscard]] auto find_or_add(upstream_run upstream, instant at) -> upstream_crash*;
    void add_call(upstream_crash& crash, const reported_call& call, bool announced);
    void mark_survival(upstream_crash& crash, bool announced);
    void note_sign_of_life(upstream_crash& crash);
    void apply_crash(const crash_report& report, bool announced, instant now);
    void clear(prompt_part part, instant at, bool announced);
    void index_parts();

    std::vector<upstream_crash> crashes_;                    // oldest first
    std::unordered_map<prompt_part, instant> last_crash_of_; // for each part of a known crash
    std::unordered_map<prompt_part, clearing> cleared_;      // for parts of known crashes
    std::unordered_map<upstream_run, instant> sign_of_life_; // of the last second
    std::uint64_t version_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace dragonflymill
