#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::direct {

/// How an attempt at an upstream ended without an answer that may be passed on.
enum class attempt_end
{
    not_sent,    ///< No connection: no byte of the request left.
    rejected,    ///< The upstream has no room; it has not run the request and won't.
    misdirected, ///< The same, as another upstream answers at the address.
    reader_lost, ///< The same, as an engine that was to read a part of the prompt is gone.
    failed,      ///< A failure that the upstream itself answered; the request ran.
    overtaken,   ///< Silence of an engine that reads other prompts first; it may have run.
    broken,      ///< Connection lost, silence or an answer that can't be used; it may have run.
};

/// Whether the request may have run in an attempt that ended so.
[[nodiscard]] auto may_have_run(attempt_end end) -> bool;
/// Whether an attempt that ended so shows that an upstream can't be reached. A connection that broke doesn't:
/// one upstream may break off one answer.
[[nodiscard]] auto is_unreachable(attempt_end end) -> bool;

/// What is known of a request when an attempt has ended.
struct request_progress
{
    bool repeatable = false;   ///< Whether it may run more than once.
    bool answer_begun = false; ///< Whether the caller has the head of an answer.
    bool may_have_run = false; ///< Whether any attempt so far may have run.
    int attempts_run = 0;      ///< Attempts that may have run.
    int rejections = 0;        ///< Attempts that upstreams refused for a reason of their own.
    int max_attempts = 1;      ///< Upstreams that it may run at.
    duration time_left{};      ///< Until its deadline or the route's time limit.
    bool budget_left = false;  ///< Whether the retry budget allows another arrival.

    friend auto operator==(const request_progress&, const request_progress&) -> bool = default;
};

/// What to do next.
enum class next_step
{
    try_again,      ///< Send it to another upstream.
    pass_failure,   ///< Pass on the failure that the upstream answered.
    refuse_not_run, ///< Answer that it was not run; the caller may come back.
    fail_unknown,   ///< Answer a failure that says nothing about whether it ran.
    cut,            ///< Close the caller's connection, so that a part can't be taken for the whole.
};

/// Names for logs.
[[nodiscard]] auto to_string(attempt_end end) -> const char*;
[[nodiscard]] auto to_string(next_step step) -> const char*;

/// Rejections that one request tries to get round. Each may mean that an engine was full by a hair; more
/// would spend the shared retry budget on one request.
inline constexpr int max_rejections = 3;

/// No attempt begins with less time than this left: a plain call takes some 20 ms and a connection 3 ms, so
/// its answer would come too late and the work would be for nothing.
inline constexpr duration min_attempt_time = 30ms;

/// Decides what follows an attempt that ended without an answer.
///
/// Guards against running a call twice: an upstream that fell silent may have run it, and a second attempt
/// would then book twice. Only calls that may be repeated go on after such an end; a refusal that the caller
/// may take as "not run" is given only if no attempt can have run.
[[nodiscard]] auto decide_next_step(attempt_end end, const request_progress& progress) -> next_step;

} // namespace dragonflymill::direct
