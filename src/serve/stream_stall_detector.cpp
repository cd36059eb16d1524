#include "dragonflymill/serve/stream_stall_detector.h"

#include "dragonflymill/core/guard.h"

#include <algorithm>

namespace dragonflymill {

namespace {

/// Divisor of the moving average of the time between tokens; about the last 50 count.
constexpr duration::rep mean_gap_divisor = 50;

} // namespace

stream_stall_detector::stream_stall_detector(stream_stall_options options)
    : options_(options)
{
}

void stream_stall_detector::began(instant now, call_number call, token_count prompt)
{
    account_for_process_pause(now);
    const auto ahead = std::max(waiting_tokens_, reported_queue_tokens_);
    submitted_tokens_ += prompt;
    waiting_tokens_ += prompt;
    // Work submitted later is added when the stream is judged, since the engine may process it first.
    streams_.insert_or_assign(call, watched_stream{now, prompt, ahead + prompt - submitted_tokens_, false});
}

void stream_stall_detector::progressed(instant now, call_number call)
{
    account_for_process_pause(now);
    const auto found = streams_.find(call);
    if (found == streams_.end()) {
        return;
    }
    auto& stream = found->second;
    if (stream.decoding) {
        mean_token_gap_ += (now - stream.last_progress_at - mean_token_gap_) / mean_gap_divisor;
    }
    else {
        waiting_tokens_ -= stream.prompt;
    }
    stream.decoding = true;
    stream.last_progress_at = now;
}

void stream_stall_detector::ended(call_number call)
{
    const auto found = streams_.find(call);
    if (found == streams_.end()) {
        return;
    }
    if (!found->second.decoding) {
        waiting_tokens_ -= found->second.prompt;
    }
    streams_.erase(found);
}

void stream_stall_detector::reported(token_count queued_prefill, bool cold)
{
    reported_queue_tokens_ = queued_prefill;
    cold_ = cold;
}

auto stream_stall_detector::silent(instant now, const std::optional<first_token_line>& line)
    -> std::vector<call_number>
{
    account_for_process_pause(now);
    std::vector<call_number> found;
    for (const auto& [call, stream] : streams_) {
        const auto limit = bound(stream, line);
        if (guard_holds(guard::stream_silence) && limit && now - stream.last_progress_at > *limit) {
            found.push_back(call);
        }
    }
    return found;
}

void stream_stall_detector::account_for_process_pause(instant now)
{
    if (last_called_at_ && now - *last_called_at_ > options_.pause_threshold) {
        for (auto& [call, stream] : streams_) {
            stream.last_progress_at += now - *last_called_at_;
        }
    }
    last_called_at_ = now;
}

auto stream_stall_detector::bound(const watched_stream& stream,
                                  const std::optional<first_token_line>& line) const
    -> std::optional<duration>
{
    const double factor = cold_ ? options_.cold_factor : 1.0;
    if (stream.decoding) {
        return std::max(options_.floor, scaled(mean_token_gap_, options_.token_factor * factor));
    }
    if (!line) {
        return std::nullopt;
    }
    const auto work = static_cast<double>(stream.work_until + submitted_tokens_);
    const auto predicted = line->base + duration(static_cast<duration::rep>(line->us_per_token * work));
    return std::max(options_.floor, scaled(predicted, options_.first_token_factor * factor));
}

} // namespace dragonflymill
