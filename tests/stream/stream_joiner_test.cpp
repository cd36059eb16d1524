#include "dragonflymill/core/random_source.h"
#include "dragonflymill/stream/stream_joiner.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

constexpr instant now(1s);
const request_id mine("mine");
const refusal caller_disconnected{refusal_code::cancelled, ran_state::unknown, duration::zero(), "none"};

auto token(token_offset index) -> std::string
{
    return "t" + std::to_string(index);
}

auto chunk(std::uint64_t attempt, token_offset offset, std::size_t count) -> stream_chunk
{
    stream_chunk made{mine, attempt_number(attempt), offset, {}};
    for (std::size_t i = 0; i < count; ++i) {
        made.tokens.push_back(token(offset + static_cast<token_offset>(i)));
    }
    return made;
}

auto end_of(std::uint64_t attempt, token_offset tokens) -> stream_end
{
    return {mine, attempt_number(attempt), tokens, "stop"};
}

/// Consumes the output of a joiner and checks that it is a prefix of the answer.
class caller
{
public:
    void read(const std::vector<stream_output>& outputs)
    {
        for (const auto& output : outputs) {
            if (const auto* next = std::get_if<deliver_tokens>(&output)) {
                cr_assert(next->offset == read_, "no gap and no duplicate");
                for (const auto& each : next->tokens) {
                    cr_assert(each == token(read_), "the token belongs to the answer");
                    ++read_;
                }
            }
            finished_ = finished_ || std::holds_alternative<finish_stream>(output);
            failed_ = failed_ || std::holds_alternative<fail_stream>(output);
        }
    }
    [[nodiscard]] auto tokens() const -> token_offset { return read_; }
    [[nodiscard]] auto finished() const -> bool { return finished_; }
    [[nodiscard]] auto failed() const -> bool { return failed_; }

private:
    token_offset read_ = 0;
    bool finished_ = false;
    bool failed_ = false;
};

auto dropped_for(const std::vector<stream_output>& outputs, drop_reason reason) -> bool
{
    return outputs == std::vector<stream_output>(1, drop_chunk{reason});
}

auto resumes_at(const std::vector<stream_output>& outputs, std::uint64_t attempt, token_offset offset) -> bool
{
    return outputs == std::vector<stream_output>(1, resume_stream{attempt_number(attempt), offset});
}

} // namespace

Test(stream_joiner, delivers_in_order_and_finishes_once)
{
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 3)));
    reader.read(joiner.step(now, chunk(1, 3, 2)));
    cr_assert(not reader.finished());
    reader.read(joiner.step(now, end_of(1, 5)));
    cr_assert(reader.tokens() == 5 and reader.finished());
    cr_assert(dropped_for(joiner.step(now, end_of(1, 5)), drop_reason::ended));
}

Test(stream_joiner, finishes_an_empty_answer)
{
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, end_of(1, 0)));
    cr_assert(reader.finished());
}

FAULT_CELL(request_stream, message_doubled)
{
    // Guards against delivering tokens twice: a sender repeats a chunk that it considers lost, and a later
    // chunk overlaps delivered tokens.
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 3)));
    cr_assert(dropped_for(joiner.step(now, chunk(1, 0, 3)), drop_reason::duplicate));
    reader.read(joiner.step(now, chunk(1, 1, 5)));
    reader.read(joiner.step(now, end_of(1, 6)));
    cr_assert(reader.tokens() == 6 and reader.finished());
}

FAULT_CELL(request_stream, message_reordered)
{
    // Guards against tokens in the wrong order and a premature end: over two connections of different speed,
    // the end overtakes the last chunk, which overtakes the one before.
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, end_of(1, 6)));
    reader.read(joiner.step(now, chunk(1, 4, 2)));
    reader.read(joiner.step(now, chunk(1, 0, 2)));
    cr_assert(reader.tokens() == 2 and not reader.finished());
    reader.read(joiner.step(now, chunk(1, 1, 3)));
    cr_assert(reader.tokens() == 6 and reader.finished());
}

FAULT_CELL(request_stream, message_lost)
{
    // Guards against an answer that stalls: a chunk is lost and the tokens behind it stay buffered. After
    // `gap_wait`, another attempt must resume after the delivered tokens.
    stream_joiner joiner(mine, attempt_number(1), {4'096, 2s, 4});
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 2)));
    reader.read(joiner.step(now, chunk(1, 3, 1)));
    cr_assert(joiner.next_wake() == now + 2s);
    cr_assert(joiner.wake(now + 1s).empty());
    cr_assert(resumes_at(joiner.wake(now + 2s), 2, 2));
    reader.read(joiner.step(now, chunk(2, 2, 4)));
    reader.read(joiner.step(now, end_of(2, 6)));
    cr_assert(reader.tokens() == 6 and reader.finished());
}

FAULT_CELL_MORE(request_stream, message_lost, bounded_gap)
{
    // Guards against unbounded memory: a chunk is lost and a fast engine continues for a million tokens, all
    // of which would be buffered behind the gap until the gateway crashes.
    stream_joiner joiner(mine, attempt_number(1), {100, 2s, 4});
    cr_assert(joiner.step(now, chunk(1, 10, 60)).empty());
    cr_assert(resumes_at(joiner.step(now, chunk(1, 70, 60)), 2, 0));
    cr_assert(not joiner.next_wake().has_value(), "the buffered tokens are discarded");
}

FAULT_CELL(request_stream, message_late)
{
    // Guards against delivering tokens of another caller's request or of an abandoned attempt: the first
    // attempt is lost and the second has begun when late tokens of the first and of another request arrive.
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 2)));
    cr_assert(resumes_at(joiner.step(now, stream_loss{mine, attempt_number(1)}), 2, 2));
    cr_assert(dropped_for(joiner.step(now, chunk(1, 2, 9)), drop_reason::older_attempt));
    cr_assert(dropped_for(joiner.step(now, end_of(1, 2)), drop_reason::older_attempt));
    stream_chunk other = chunk(2, 2, 1);
    other.request = request_id("other");
    cr_assert(dropped_for(joiner.step(now, other), drop_reason::other_request));
    cr_assert(dropped_for(joiner.step(now, chunk(3, 2, 1)), drop_reason::unknown_attempt));
    reader.read(joiner.step(now, chunk(2, 2, 1)));
    cr_assert(reader.tokens() == 3);
}

FAULT_CELL(request_resume, process_dies)
{
    // Guards against duplicates after a resume at the wrong offset: an engine crashes after three quarters of
    // an answer, and the second attempt repeats tokens before the requested offset.
    stream_joiner joiner(mine, attempt_number(7));
    caller reader;
    reader.read(joiner.step(now, chunk(7, 0, 75)));
    cr_assert(resumes_at(joiner.step(now, stream_loss{mine, attempt_number(7)}), 8, 75));
    reader.read(joiner.step(now, chunk(8, 70, 30)));
    reader.read(joiner.step(now, end_of(8, 100)));
    cr_assert(reader.tokens() == 100 and reader.finished());
}

FAULT_CELL(request_resume, same_twice)
{
    // Guards against a stream that is resumed forever because every attempt is lost at once. The number of
    // attempts is limited, and the stream then fails rather than looking complete.
    stream_joiner joiner(mine, attempt_number(1), {4'096, 2s, 3});
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 2)));
    cr_assert(resumes_at(joiner.step(now, stream_loss{mine, attempt_number(1)}), 2, 2));
    cr_assert(resumes_at(joiner.step(now, stream_loss{mine, attempt_number(2)}), 3, 2));
    reader.read(joiner.step(now, stream_loss{mine, attempt_number(3)}));
    cr_assert(reader.failed() and not reader.finished() and joiner.ended());
}

FAULT_CELL(request_resume, two_faults)
{
    // Guards against a truncated answer that looks complete: the end is received, a chunk before it is lost,
    // and the connection breaks. The end of the lost attempt must not be used for the next one.
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.step(now, chunk(1, 0, 2)));
    reader.read(joiner.step(now, end_of(1, 4)));
    cr_assert(resumes_at(joiner.step(now, stream_loss{mine, attempt_number(1)}), 2, 2));
    reader.read(joiner.step(now, chunk(2, 2, 2)));
    cr_assert(not reader.finished());
    reader.read(joiner.step(now, end_of(2, 4)));
    cr_assert(reader.tokens() == 4 and reader.finished());
}

FAULT_CELL(request_cancel, message_late)
{
    // Guards against writing to a disconnected caller and ending a stream twice: tokens and the end that were
    // in flight arrive after the stream was abandoned.
    stream_joiner joiner(mine, attempt_number(1));
    caller reader;
    reader.read(joiner.give_up(caller_disconnected));
    cr_assert(reader.failed());
    cr_assert(joiner.give_up(caller_disconnected).empty());
    cr_assert(dropped_for(joiner.step(now, chunk(1, 0, 2)), drop_reason::ended));
    cr_assert(dropped_for(joiner.step(now, end_of(1, 2)), drop_reason::ended));
}

FAULT_CELL(request_stream, two_faults)
{
    // Combines lost, late, duplicated and reordered chunks over several attempts: the delivered tokens must
    // always be a prefix of the answer. Runs fifty seeds of chunks in random order with losses between them.
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_source random(seed);
        stream_joiner joiner(mine, attempt_number(1), {64, 2s, 6});
        caller reader;
        instant time = now;
        for (int i = 0; i < 400 && !joiner.ended(); ++i) {
            time += 10ms;
            const std::uint64_t attempt = joiner.attempt().value() - (random.chance(0.1) ? 1 : 0);
            const auto offset =
                std::max<token_offset>(0, joiner.delivered() + 5 - token_offset(random.below(12)));
            const auto count = std::min<token_offset>(200 - offset, token_offset(random.below(8)));
            reader.read(
                joiner.step(time, chunk(attempt, offset, std::size_t(std::max<token_offset>(0, count)))));
            if (random.chance(0.01)) {
                reader.read(joiner.step(time, stream_loss{mine, joiner.attempt()}));
            }
            if (random.chance(0.02)) {
                reader.read(joiner.step(time, end_of(joiner.attempt().value(), 200)));
            }
            reader.read(joiner.wake(time));
        }
        cr_assert(reader.tokens() == joiner.delivered());
        cr_assert(not reader.finished() or reader.tokens() == 200);
    }
}
