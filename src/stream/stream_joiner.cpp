#include "dragonflymill/stream/stream_joiner.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <iterator>
#include <utility>

namespace dragonflymill {

auto to_string(drop_reason reason) -> const char*
{
    switch (reason) {
    case drop_reason::other_request:
        return "other_request";
    case drop_reason::older_attempt:
        return "older_attempt";
    case drop_reason::unknown_attempt:
        return "unknown_attempt";
    case drop_reason::duplicate:
        return "duplicate";
    case drop_reason::ended:
        return "ended";
    }
    return "ended";
}

stream_joiner::stream_joiner(request_id request, attempt_number first, stream_joiner_settings settings)
    : request_(std::move(request))
    , first_(first)
    , attempt_(first)
    , settings_(settings)
{
}

auto stream_joiner::step(instant now, const stream_chunk& chunk) -> std::vector<stream_output>
{
    if (const auto reason = reason_to_drop(chunk.request, chunk.attempt)) {
        return {drop_chunk{*reason}};
    }
    const auto size = static_cast<token_offset>(chunk.tokens.size());
    // Guards against duplicate, late or reordered tokens, by which the caller would receive a token twice or
    // miss one: a token is delivered only when its offset equals the number of delivered tokens.
    if (!guard_holds(guard::stream_offset)) {
        delivered_ += size;
        return {deliver_tokens{chunk.offset, chunk.tokens}};
    }
    if (chunk.offset < 0 || chunk.offset + size <= delivered_) {
        return {drop_chunk{drop_reason::duplicate}};
    }
    std::vector<stream_output> outputs;
    const bool beyond_gap = chunk.offset > delivered_;
    if (beyond_gap && buffered_tokens_ + chunk.tokens.size() > settings_.max_gap_tokens) {
        resume(outputs);
        return outputs;
    }
    buffer(chunk);
    deliver_buffered(outputs);
    finish_if_complete(outputs);
    track_gap(now);
    return outputs;
}

auto stream_joiner::step(instant now, const stream_end& end) -> std::vector<stream_output>
{
    if (const auto reason = reason_to_drop(end.request, end.attempt)) {
        return {drop_chunk{*reason}};
    }
    std::vector<stream_output> outputs;
    if (end.tokens < delivered_) {
        fail(outputs, {refusal_code::internal, ran_state::unknown, duration::zero(),
                       "the upstream ended an answer before its own tokens: report it"});
        return outputs;
    }
    end_ = end;
    finish_if_complete(outputs);
    track_gap(now);
    return outputs;
}

auto stream_joiner::step(instant /*now*/, const stream_loss& loss) -> std::vector<stream_output>
{
    if (const auto reason = reason_to_drop(loss.request, loss.attempt)) {
        return {drop_chunk{*reason}};
    }
    std::vector<stream_output> outputs;
    resume(outputs);
    return outputs;
}

auto stream_joiner::wake(instant now) -> std::vector<stream_output>
{
    std::vector<stream_output> outputs;
    const auto at = next_wake();
    if (at && now >= *at) {
        resume(outputs);
    }
    return outputs;
}

void stream_joiner::switch_attempt()
{
    buffered_.clear();
    buffered_tokens_ = 0;
    end_.reset();
    gap_since_.reset();
    first_ = attempt_number(first_.value() + 1);
    attempt_ = attempt_number(attempt_.value() + 1);
}

auto stream_joiner::give_up(refusal why) -> std::vector<stream_output>
{
    std::vector<stream_output> outputs;
    if (!ended_) {
        fail(outputs, std::move(why));
    }
    return outputs;
}

auto stream_joiner::next_wake() const -> std::optional<instant>
{
    if (ended_ || !gap_since_) {
        return std::nullopt;
    }
    return *gap_since_ + settings_.gap_wait;
}

auto stream_joiner::reason_to_drop(const request_id& request, attempt_number attempt) const
    -> std::optional<drop_reason>
{
    if (request != request_) {
        return drop_reason::other_request;
    }
    if (ended_) {
        return drop_reason::ended;
    }
    if (attempt < attempt_) {
        return drop_reason::older_attempt;
    }
    return attempt > attempt_ ? std::optional(drop_reason::unknown_attempt) : std::nullopt;
}

void stream_joiner::buffer(const stream_chunk& chunk)
{
    auto& slot = buffered_[chunk.offset];
    if (slot.size() < chunk.tokens.size()) {
        buffered_tokens_ += chunk.tokens.size() - slot.size();
        slot = chunk.tokens;
    }
}

void stream_joiner::deliver_buffered(std::vector<stream_output>& outputs)
{
    while (!buffered_.empty() && buffered_.begin()->first <= delivered_) {
        auto node = buffered_.extract(buffered_.begin());
        auto& tokens = node.mapped();
        buffered_tokens_ -= tokens.size();
        const token_offset delivered_part = delivered_ - node.key();
        if (delivered_part >= static_cast<token_offset>(tokens.size())) {
            continue;
        }
        const auto first_new = std::next(tokens.begin(), delivered_part);
        deliver_tokens next{delivered_,
                            {std::make_move_iterator(first_new), std::make_move_iterator(tokens.end())}};
        delivered_ += static_cast<token_offset>(next.tokens.size());
        outputs.emplace_back(std::move(next));
    }
    DRAGONFLYMILL_ASSERT(buffered_.empty() || buffered_.begin()->first > delivered_,
                         "the next token must not stay buffered");
}

void stream_joiner::finish_if_complete(std::vector<stream_output>& outputs)
{
    if (!end_ || ended_ || delivered_ < end_->tokens) {
        return;
    }
    ended_ = true;
    buffered_.clear();
    buffered_tokens_ = 0;
    outputs.emplace_back(finish_stream{delivered_, end_->finish_reason});
}

void stream_joiner::track_gap(instant now)
{
    const bool open = !ended_ && (!buffered_.empty() || end_);
    if (!open) {
        gap_since_.reset();
    }
    else if (!gap_since_) {
        gap_since_ = now;
    }
}

void stream_joiner::resume(std::vector<stream_output>& outputs)
{
    buffered_.clear();
    buffered_tokens_ = 0;
    end_.reset();
    gap_since_.reset();
    if (attempt_.value() + 1 >= first_.value() + settings_.max_attempts) {
        fail(outputs, {refusal_code::upstream_gone, ran_state::unknown, duration::zero(),
                       "the answer was lost several times on its way: ask again"});
        return;
    }
    attempt_ = attempt_number(attempt_.value() + 1);
    outputs.emplace_back(resume_stream{attempt_, delivered_});
}

void stream_joiner::fail(std::vector<stream_output>& outputs, refusal why)
{
    ended_ = true;
    buffered_.clear();
    buffered_tokens_ = 0;
    gap_since_.reset();
    outputs.emplace_back(fail_stream{std::move(why)});
}

} // namespace dragonflymill
