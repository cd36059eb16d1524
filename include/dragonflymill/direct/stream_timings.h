#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/upstream_speeds.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// The engine that writes a stream.
struct stream_engine
{
    upstream_run run = 0; ///< Run of the engine.
    upstream_key key = 0; ///< Its key in load reports.

    friend auto operator==(const stream_engine&, const stream_engine&) -> bool = default;
};

/// What an engine does between two events of its streams, at the speed of its profile.
struct engine_work
{
    duration iteration{};       ///< Iteration that only decodes.
    duration pending_prefill{}; ///< Prefill that it has left.

    friend auto operator==(const engine_work&, const engine_work&) -> bool = default;
};

/// Returns the work of an engine now, summed over the loads that all gateways have reported.
template <typename source>
concept engine_work_source = requires(const source& work_of, const stream_engine& engine)
{
    {
        work_of(engine)
        } -> std::convertible_to<engine_work>;
};

/// Measures the intervals between events of the streams that this gateway reads, and reports them to
/// `upstream_speeds`.
///
/// An interval is expected to take an iteration and the prefill that the engine had to do in it. Summing up
/// the loads of all gateways for each event would cost more than passing it on, so the work of an engine is
/// only asked for when an interval is long or the last answer is old. A long interval that prefill explains
/// says nothing: how much of the prefill is left is only estimated.
class stream_timings
{
public:
    explicit stream_timings(upstream_speeds& speeds)
        : speeds_(speeds)
    {
    }

    /// Starts the measurement of a stream at its first token, with the work of its engine.
    void begin(placement_id placed, const stream_engine& engine, const engine_work& work, instant now);
    /// Records an event of a stream; ignored if the stream isn't known.
    template <engine_work_source source>
    void event(placement_id placed, instant now, const source& work_of)
    {
        const auto found = open_.find(placed);
        if (found == open_.end()) {
            return;
        }
        open_stream& stream = found->second;
        const bool asks = is_long(stream, now) || now - stream.asked_at >= work_refresh_interval;
        finish_interval(stream, asks ? std::optional<engine_work>(work_of(stream.engine)) : std::nullopt,
                        now);
    }
    /// Discards the interval that a stream is in, as this gateway delays it: the next event begins one.
    void discard_interval(placement_id placed);
    /// Records that a prefill of a prompt of this gateway, or of a part of it, has ended at an engine. The
    /// load tracker no longer has it, but it is in the interval that ends at about the same time.
    void prefill_ended(upstream_key engine, duration prefill_time, instant now);
    /// Ends the measurement of a stream, also of one that never began.
    void finished(placement_id placed) { open_.erase(placed); }
    /// Reports the streams that are silent; to be called regularly. A silence counts from the second call on:
    /// after a pause of this process, its events wait to be read.
    template <engine_work_source source>
    void check_silence(instant now, const source& work_of)
    {
        for (auto& [placed, stream] : open_) {
            if (is_silent(stream)) {
                report_silence(stream, work_of(stream.engine));
            }
        }
        checked_at_ = now;
        forget_ended_prefills(now);
    }

    /// Number of streams that are measured.
    [[nodiscard]] auto open() const -> std::size_t { return open_.size(); }

    /// Intervals above this multiple of the iteration are compared with the prefill of the engine.
    static constexpr double long_interval = 1.5;
    /// Time after which the iteration of an engine is asked for again: its number of streams changes.
    static constexpr duration work_refresh_interval = 1s;
    /// Time for which prefills that have ended are kept; no iteration takes longer.
    static constexpr duration prefill_memory = 5s;

private:
    struct open_stream
    {
        stream_engine engine;
        duration iteration{};
        duration pending_prefill{}; // the most that was seen during the interval
        instant last_event_at{};
        instant asked_at{};
        bool is_discarded = false; // the current interval
    };
    struct ended_prefill
    {
        duration prefill_time{};
        instant ended_at{};
    };

    [[nodiscard]] static auto is_long(const open_stream& stream, instant now) -> bool;
    [[nodiscard]] auto is_silent(const open_stream& stream) const -> bool;
    [[nodiscard]] auto expected_interval(const open_stream& stream) const -> duration;
    void finish_interval(open_stream& stream, const std::optional<engine_work>& work, instant now);
    void report_silence(open_stream& stream, const engine_work& work);
    void forget_ended_prefills(instant now);

    upstream_speeds& speeds_;
    std::unordered_map<placement_id, open_stream> open_;
    std::unordered_map<upstream_key, std::vector<ended_prefill>> ended_prefills_;
    std::optional<instant> checked_at_; // last call of check_silence
};

} // namespace dragonflymill::direct
