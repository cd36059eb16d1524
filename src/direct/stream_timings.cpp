#include "dragonflymill/direct/stream_timings.h"

#include <algorithm>

namespace dragonflymill::direct {

void stream_timings::begin(placement_id placed, const stream_engine& engine, const engine_work& work,
                           instant now)
{
    open_.insert_or_assign(placed, open_stream{engine, work.iteration, duration::zero(), now, now, false});
}

void stream_timings::discard_interval(placement_id placed)
{
    if (const auto found = open_.find(placed); found != open_.end()) {
        found->second.is_discarded = true;
    }
}

void stream_timings::prefill_ended(upstream_key engine, duration prefill_time, instant now)
{
    if (prefill_time > duration::zero()) {
        ended_prefills_[engine].push_back({prefill_time, now});
    }
}

auto stream_timings::is_long(const open_stream& stream, instant now) -> bool
{
    return !stream.is_discarded && now - stream.last_event_at > scaled(stream.iteration, long_interval);
}

auto stream_timings::is_silent(const open_stream& stream) const -> bool
{
    return checked_at_ && !stream.is_discarded &&
           *checked_at_ - stream.last_event_at >= scaled(stream.iteration, upstream_speeds::slow_threshold);
}

auto stream_timings::expected_interval(const open_stream& stream) const -> duration
{
    duration expected = stream.iteration + stream.pending_prefill;
    if (const auto found = ended_prefills_.find(stream.engine.key); found != ended_prefills_.end()) {
        for (const ended_prefill& ended : found->second) {
            if (ended.ended_at > stream.last_event_at) {
                expected += ended.prefill_time;
            }
        }
    }
    return expected;
}

void stream_timings::finish_interval(open_stream& stream, const std::optional<engine_work>& work, instant now)
{
    if (work) {
        stream.iteration = work->iteration;
        stream.pending_prefill = std::max(stream.pending_prefill, work->pending_prefill);
        stream.asked_at = now;
    }
    if (!stream.is_discarded) {
        const duration measured = now - stream.last_event_at;
        const duration expected = is_long(stream, now) ? expected_interval(stream) : stream.iteration;
        const bool explained_by_prefill =
            expected > stream.iteration && measured < scaled(expected, upstream_speeds::slow_threshold);
        if (!explained_by_prefill) {
            speeds_.observe_interval(stream.engine.run, measured, expected, now);
        }
    }
    stream.last_event_at = now;
    stream.pending_prefill = duration::zero();
    stream.is_discarded = false;
}

void stream_timings::report_silence(open_stream& stream, const engine_work& work)
{
    stream.iteration = work.iteration;
    stream.pending_prefill = std::max(stream.pending_prefill, work.pending_prefill);
    speeds_.observe_silence(stream.engine.run, *checked_at_ - stream.last_event_at, expected_interval(stream),
                            *checked_at_);
}

void stream_timings::forget_ended_prefills(instant now)
{
    for (auto item = ended_prefills_.begin(); item != ended_prefills_.end();) {
        std::erase_if(item->second,
                      [now](const ended_prefill& ended) { return now - ended.ended_at > prefill_memory; });
        item = item->second.empty() ? ended_prefills_.erase(item) : std::next(item);
    }
}

} // namespace dragonflymill::direct
