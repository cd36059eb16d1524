#include "dragonflymill/serve/stream_stall_detector.h"

#include "dragonflymill/core/guard.h"

#include <algorithm>

namespace dragonflymill {

namespace {

/// Weight of a new gap between tokens against the usual one: about the last 50 count.
constexpr duration::rep gap_memory = 50;

} // namespace

stream_stall_detector::stream_stall_detector(stream_stall_options options)
    : options_(options)
{
}

void stream_stall_detector::began(instant now, call_number call, token_count prompt)
{
    account_for_process_pause(now);
    const auto ahead = std::max(waiting_, reported_queue_);
    put_ += prompt;
    waiting_ += prompt;
    // Work that is put later is added when the stream is judged, since the engine may serve it first.
    streams_.insert_or_assign(call, watched{now, prompt, ahead + prompt - put_, false});
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
        usual_gap_ += (now - stream.last - usual_gap_) / gap_memory;
    }
    else {
        waiting_ -= stream.prompt;
    }
    stream.decoding = true;
    stream.last = now;
}

void stream_stall_detector::ended(call_number call)
{
    const auto found = streams_.find(call);
    if (found == streams_.end()) {
        return;
    }
    if (!found->second.decoding) {
        waiting_ -= found->second.prompt;
    }
    streams_.erase(found);
}

void stream_stall_detector::reported(token_count queued_prefill, bool cold)
{
    reported_queue_ = queued_prefill;
    cold_ = cold;
}

auto stream_stall_detector::silent(instant now, const std::optional<first_token_line>& line)
    -> std::vector<call_number>
{
    account_for_process_pause(now);
    std::vector<call_number> found;
    for (const auto& [call, stream] : streams_) {
        const auto limit = bound(stream, line);
        if (guard_holds(guard::stream_silence) && limit && now - stream.last > *limit) {
            found.push_back(call);
        }
    }
    return found;
}

void stream_stall_detector::account_for_process_pause(instant now)
{
    if (last_call_ && now - *last_call_ > options_.pause_threshold) {
        for (auto& [call, stream] : streams_) {
            stream.last += now - *last_call_;
        }
    }
    last_call_ = now;
}

auto stream_stall_detector::bound(const watched& stream, const std::optional<first_token_line>& line) const
    -> std::optional<duration>
{
    const double stretch = cold_ ? options_.cold_factor : 1.0;
    if (stream.decoding) {
        return std::max(options_.floor, scaled(usual_gap_, options_.token_multiple * stretch));
    }
    if (!line) {
        return std::nullopt;
    }
    const auto work = static_cast<double>(stream.work_until + put_);
    const auto predicted = line->base + duration(static_cast<duration::rep>(line->us_per_token * work));
    return std::max(options_.floor, scaled(predicted, options_.first_token_multiple * stretch));
}

} // namespace dragonflymill
