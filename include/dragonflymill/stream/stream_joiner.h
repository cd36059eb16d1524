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

/// Index of a token in an answer, from 0.
using token_offset = std::int64_t;

/// Tokens of an answer, as received from an upstream.
struct stream_chunk
{
    request_id request;              ///< Request that the tokens belong to.
    attempt_number attempt;          ///< Attempt that the tokens belong to.
    token_offset offset = 0;         ///< Index of the first token.
    std::vector<std::string> tokens; ///< Text of each token.

    friend auto operator==(const stream_chunk&, const stream_chunk&) -> bool = default;
};

/// The end of an answer, as reported by an upstream.
struct stream_end
{
    request_id request;        ///< Request that the answer belongs to.
    attempt_number attempt;    ///< Attempt that the answer belongs to.
    token_offset tokens = 0;   ///< Total number of tokens of the answer.
    std::string finish_reason; ///< Reason for the end.

    friend auto operator==(const stream_end&, const stream_end&) -> bool = default;
};

/// The loss of an attempt: its stream broke, or its upstream is considered lost.
struct stream_loss
{
    request_id request;     ///< Request of the attempt.
    attempt_number attempt; ///< The lost attempt.

    friend auto operator==(const stream_loss&, const stream_loss&) -> bool = default;
};

/// Output: the next tokens of the answer for the caller.
struct deliver_tokens
{
    token_offset offset = 0;         ///< Index of the first token.
    std::vector<std::string> tokens; ///< Text of each token.

    friend auto operator==(const deliver_tokens&, const deliver_tokens&) -> bool = default;
};

/// Output: the answer is complete; report its end to the caller.
struct finish_stream
{
    token_offset tokens = 0;   ///< Total number of tokens of the answer.
    std::string finish_reason; ///< Reason for the end.

    friend auto operator==(const finish_stream&, const finish_stream&) -> bool = default;
};

/// Output: request the rest of the answer from another upstream. The retry rules and the time limit decide
/// whether that is allowed; if not, the caller of the joiner calls `give_up`.
struct resume_stream
{
    attempt_number attempt;  ///< Number of the new attempt; tokens of all others are dropped from now on.
    token_offset offset = 0; ///< Number of tokens that the caller already has.

    friend auto operator==(const resume_stream&, const resume_stream&) -> bool = default;
};

/// Output: the answer cannot be completed. The caller's stream must end with this refusal, never with a mere
/// close.
struct fail_stream
{
    refusal why; ///< The refusal to send.

    friend auto operator==(const fail_stream&, const fail_stream&) -> bool = default;
};

/// Why tokens were dropped.
enum class drop_reason
{
    other_request,   ///< They belong to another request.
    older_attempt,   ///< They belong to an abandoned attempt.
    unknown_attempt, ///< They belong to an attempt that was never started.
    duplicate,       ///< The caller already has them.
    ended,           ///< The stream has ended.
};

/// Name of a drop reason, as written to the timeline.
[[nodiscard]] auto to_string(drop_reason reason) -> const char*;

/// Output: input was dropped; to be counted and written to the timeline.
struct drop_chunk
{
    drop_reason reason = drop_reason::duplicate; ///< Reason for the drop.

    friend auto operator==(const drop_chunk&, const drop_chunk&) -> bool = default;
};

/// An output of the joiner.
using stream_output = std::variant<deliver_tokens, finish_stream, resume_stream, fail_stream, drop_chunk>;

/// Limits of a joiner.
struct stream_joiner_settings
{
    /// Maximum number of tokens buffered behind a gap. With more, the gap is assumed not to close.
    std::size_t max_gap_tokens = 4'096;
    duration gap_wait{2'000'000};   ///< Maximum time for which a gap may stay open.
    std::uint64_t max_attempts = 4; ///< Maximum number of attempts per stream.

    friend auto operator==(const stream_joiner_settings&, const stream_joiner_settings&) -> bool = default;
};

/// Joins the chunks received for one request, from any number of attempts and in any order, into one answer.
/// The delivered tokens are always a prefix of the answer, without gaps or duplicates.
class stream_joiner
{
public:
    /// Starts with the attempt `first` of `request`.
    stream_joiner(request_id request, attempt_number first, stream_joiner_settings settings = {});

    /// Handles received tokens.
    [[nodiscard]] auto step(instant now, const stream_chunk& chunk) -> std::vector<stream_output>;
    /// Handles a received end.
    [[nodiscard]] auto step(instant now, const stream_end& end) -> std::vector<stream_output>;
    /// Handles the loss of an attempt.
    [[nodiscard]] auto step(instant now, const stream_loss& loss) -> std::vector<stream_output>;
    /// Resumes the stream if a gap has been open for `gap_wait`.
    [[nodiscard]] auto wake(instant now) -> std::vector<stream_output>;
    /// Switches to a new attempt because the current one was ended through no fault of its own. The ended
    /// attempt does not count towards `max_attempts`, and its remaining chunks are dropped.
    void switch_attempt();
    /// Fails the stream: the time limit was exceeded, the caller disconnected, or resuming is not allowed.
    [[nodiscard]] auto give_up(refusal why) -> std::vector<stream_output>;

    /// Time at which `wake` must be called; nothing if no gap is open.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Number of delivered tokens.
    [[nodiscard]] auto delivered() const -> token_offset { return delivered_; }
    /// The attempt whose tokens are accepted.
    [[nodiscard]] auto attempt() const -> attempt_number { return attempt_; }
    /// Whether the stream has finished or failed.
    [[nodiscard]] auto ended() const -> bool { return ended_; }

private:
    [[nodiscard]] auto reason_to_drop(const request_id& request, attempt_number attempt) const
        -> std::optional<drop_reason>;
    void buffer(const stream_chunk& chunk);
    void deliver_buffered(std::vector<stream_output>& outputs);
    void finish_if_complete(std::vector<stream_output>& outputs);
    void track_gap(instant now);
    void resume(std::vector<stream_output>& outputs);
    void fail(std::vector<stream_output>& outputs, refusal why);

    request_id request_;
    attempt_number first_;
    attempt_number attempt_;
    stream_joiner_settings settings_;
    token_offset delivered_ = 0;
    std::map<token_offset, std::vector<std::string>> buffered_; // at most max_gap_tokens in total
    std::size_t buffered_tokens_ = 0;
    std::optional<stream_end> end_;
    std::optional<instant> gap_since_;
    bool ended_ = false;
};

} // namespace dragonflymill
