#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::direct {

/// How an attempt at an upstream ended without a response that may be forwarded to the caller.
enum class attempt_end
{
    not_sent,     ///< No connection: no byte of the request was sent.
    rejected,     ///< The upstream has no free capacity; it has not run the request and will not.
    misdirected,  ///< Like `rejected`, because a different upstream answers at the address.
    reader_lost,  ///< Like `rejected`, because an engine that was to prefill a part of the prompt is gone.
    failed,       ///< The upstream itself answered with a failure; the request ran.
    overtaken,    ///< No response from an engine that prefills other prompts first; it may have run.
    broken,       ///< Timeout or lost network path; it may have run.
    disconnected, ///< The upstream closed the connection before its response was complete; it may have run.
    invalid,      ///< The upstream sent bytes that are no part of a valid response; it may have run.
};

/// Returns whether the request may have run in an attempt that ended this way.
[[nodiscard]] auto may_have_run(attempt_end end) -> bool;
/// Returns whether an attempt that ended this way shows that an upstream is unreachable. A broken connection
/// does not: an upstream may abort a single response.
[[nodiscard]] auto is_unreachable(attempt_end end) -> bool;

/// State of a request when one of its attempts has ended.
struct request_progress
{
    bool repeatable = false;   ///< Whether it may run more than once.
    bool answer_begun = false; ///< Whether the caller has received the head of a response.
    bool may_have_run = false; ///< Whether it may have run in any attempt so far.
    int attempts_run = 0;      ///< Attempts in which it may have run.
    int disconnects = 0;       ///< Attempts that upstreams ended by closing the connection.
    int rejections = 0;        ///< Attempts that upstreams rejected for reasons of their own.
    int max_attempts = 1;      ///< Maximum number of upstreams that it may run at.
    duration time_left{};      ///< Time until its deadline or the route's time limit.
    duration wait_left{};      ///< Time for which it may still wait for capacity; may be negative.
    duration retry_delay{};    ///< Time from an attempt that wasn't sent to the next one.
    bool budget_left = false;  ///< Whether the retry budget allows another attempt.
    /// Whether the failure that the upstream answered has a status by which callers know that a request
    /// wasn't run.
    bool failure_says_not_run = false;

    friend auto operator==(const request_progress&, const request_progress&) -> bool = default;
};

/// What to do after an attempt has ended.
enum class next_step
{
    try_again,      ///< Send the request to another upstream.
    pass_failure,   ///< Forward the failure that the upstream answered.
    refuse_not_run, ///< Answer that the request was not run; the caller may retry.
    fail_unknown,   ///< Answer with a failure that leaves open whether the request ran.
    cut,            ///< Close the caller's connection, to mark the response as incomplete.
};

/// Names as written to logs.
[[nodiscard]] auto to_string(attempt_end end) -> const char*;
[[nodiscard]] auto to_string(next_step step) -> const char*;

/// Maximum number of rejections after which a request is still retried. A rejection may mean that an engine
/// was only just full; more retries would spend the shared retry budget on a single request.
inline constexpr int max_rejections = 3;

/// Number of upstreams that may close the connection of a call before it is given up. Each of them may have
/// crashed under it.
inline constexpr int max_disconnects = 2;

/// Minimum remaining time for starting an attempt. A short call takes about 20 ms and connecting 3 ms, so
/// with less time the response would arrive too late and the work would be wasted.
inline constexpr duration min_attempt_time = 30ms;

/// Returns whether a status tells callers that their request was not run and never will be, so that they may
/// send it again.
[[nodiscard]] auto says_not_run(unsigned status) -> bool;

/// Returns the next step after an attempt that ended without a response.
///
/// Guards against running a call twice: an upstream that stopped responding may have run it, and a second
/// attempt would run it again. After such an end only repeatable calls are retried, and the caller is told
/// that its call was not run only if it cannot have run in any attempt.
[[nodiscard]] auto decide_next_step(attempt_end end, const request_progress& progress) -> next_step;

} // namespace dragonflymill::direct
