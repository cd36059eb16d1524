#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Place of a token in an answer, from 0.
using token_offset = std::int64_t;

/// Tokens of an answer as they come from an upstream.
struct stream_chunk
{
    request_id request;              ///< Request that they answer.
    attempt_number attempt;          ///< Try that they belong to.
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.

    friend auto operator==(const stream_chunk&, const stream_chunk&) -> bool = default;
};

/// An upstream's word that the answer is whole.
struct stream_end
{
    request_id request;        ///< Request that it answers.
    attempt_number attempt;    ///< Try that it belongs to.
    token_offset tokens = 0;   ///< Length of the whole answer.
    std::string finish_reason; ///< Why it ends there.

    friend auto operator==(const stream_end&, const stream_end&) -> bool = default;
};

/// A try's stream broke, or its upstream is taken to be lost.
struct stream_loss
{
    request_id request;     ///< Request that it answered.
    attempt_number attempt; ///< Try that is lost.

    friend auto operator==(const stream_loss&, const stream_loss&) -> bool = default;
};

/// Tokens for the caller, the next ones of the answer.
struct deliver_tokens
{
    token_offset offset = 0;         ///< Place of the first of them.
    std::vector<std::string> tokens; ///< Their text.

    friend auto operator==(const deliver_tokens&, const deliver_tokens&) -> bool = default;
};

/// The answer is whole: tell the caller so.
struct finish_stream
{
    token_offset tokens = 0;   ///< Length of the whole answer.
    std::string finish_reason; ///< Why it ends there.

    friend auto operator==(const finish_stream&, const finish_stream&) -> bool = default;
};

/// Ask another upstream for the rest of the answer. Retry rules and time limit decide whether that is
/// allowed; if it is not, `give_up` ends the stream.
struct resume_stream
{
    attempt_number attempt;  ///< The new try's number; every other try's tokens are dropped from now on.
    token_offset offset = 0; ///< Tokens that the caller already has.

    friend auto operator==(const resume_stream&, const resume_stream&) -> bool = default;
};

/// The answer can't be finished: end the caller's stream with this, never with a bare close.
struct fail_stream
{
    refusal why; ///< The final answer.

    friend auto operator==(const fail_stream&, const fail_stream&) -> bool = default;
};

/// Why tokens were dropped.
enum class drop_reason
{
    other_request,   ///< They answer another request.
    older_attempt,   ///< They come from a try that was given up.
    unknown_attempt, ///< They come from a try that was never started.
    duplicate,       ///< The caller has them.
    ended,           ///< The stream has ended.
};

/// Name of a drop reason, as it stands in the time line.
[[nodiscard]] auto to_string(drop_reason reason) -> const char*;

/// Something was dropped; counted and shown in the time line.
struct drop_chunk
{
    drop_reason reason = drop_reason::duplicate; ///< Why.

    friend auto operator==(const drop_chunk&, const drop_chunk&) -> bool = default;
};

/// What the joiner wants done.
using stream_output = std::variant<deliver_tokens, finish_stream, resume_stream, fail_stream, drop_chunk>;

/// Bounds of a joiner.
struct stream_joiner_settings
{
    std::size_t max_gap_tokens =
        4'096;                      ///< Tokens that wait behind a gap; more of them mean the gap won't close.
    duration gap_wait{2'000'000};   ///< How long a gap may stay open.
    std::uint64_t max_attempts = 4; ///< Tries at one stream.

    friend auto operator==(const stream_joiner_settings&, const stream_joiner_settings&) -> bool = default;
};

/// Joins what comes for one request, from one try or several, in any order, into one answer: what is
/// delivered is always a prefix of it, with no hole and no repeat.
class stream_joiner
{
public:
    /// Waits for the first try, number `first`, at `request`.
    stream_joiner(request_id request, attempt_number first, stream_joiner_settings settings = {});

    /// Takes in tokens.
    [[nodiscard]] auto step(instant now, const stream_chunk& chunk) -> std::vector<stream_output>;
    /// Takes in an end.
    [[nodiscard]] auto step(instant now, const stream_end& end) -> std::vector<stream_output>;
    /// Takes in a loss.
    [[nodiscard]] auto step(instant now, const stream_loss& loss) -> std::vector<stream_output>;
    /// Resumes if a gap stayed open for too long.
    [[nodiscard]] auto wake(instant now) -> std::vector<stream_output>;
    /// Goes over to a new try, as the running one was ended for no fault of its own: it doesn't count against
    /// `max_attempts`, and what still comes of it is dropped.
    void switch_attempt();
    /// Ends the stream with a failure: the time limit ran out, the caller left, or no resume is allowed.
    [[nodiscard]] auto give_up(refusal why) -> std::vector<stream_output>;

    /// When `wake` has something to do; nothing if no gap is open.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Tokens delivered.
    [[nodiscard]] auto delivered() const -> token_offset { return delivered_; }
    /// The try whose tokens are taken.
    [[nodiscard]] auto attempt() const -> attempt_number { return attempt_; }
    /// Whether it finished or failed.
    [[nodiscard]] auto ended() const -> bool { return ended_; }

private:
    [[nodiscard]] auto reason_to_drop(const request_id& request, attempt_number attempt) const
        -> std::optional<drop_reason>;
    void hold(const stream_chunk& chunk);
    void deliver_held(std::vector<stream_output>& outputs);
    void finish_if_whole(std::vector<stream_output>& outputs);
    void note_gap(instant now);
    void resume(std::vector<stream_output>& outputs);
    void fail(std::vector<stream_output>& outputs, refusal why);

    request_id request_;
    attempt_number first_;
    attempt_number attempt_;
    stream_joiner_settings settings_;
    token_offset delivered_ = 0;
    std::map<token_offset, std::vector<std::string>> held_; // at most max_gap_tokens in all
    std::size_t held_tokens_ = 0;
    std::optional<stream_end> end_;
    std::optional<instant> gap_since_;
    bool ended_ = false;
};

} // namespace dragonflymill
