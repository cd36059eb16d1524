#pragma once

#include "dragonflymill/core/time.h"

#include <string>

namespace dragonflymill {

/// Whether a refused request was executed. `no` is reported only if that is certain.
enum class ran_state
{
    no,      ///< Nothing that could start the work was or will be sent to the upstream.
    unknown, ///< The work may have been executed.
};

/// Why a request was refused.
enum class refusal_code
{
    account_limit,  ///< The client account is at one of its limits.
    overloaded,     ///< No capacity for this request class at present.
    upstream_cold,  ///< The upstreams are in cold start and at their current limit.
    upstream_gone,  ///< The upstream failed while processing the request.
    draining,       ///< The upstream or its failure domain accepts no new work.
    stopping,       ///< This process is shutting down.
    deadline,       ///< The request's deadline passed.
    ticket_unknown, ///< The ticket's issuer is gone; the outcome can't be determined.
    not_ready,      ///< This process has no bundle in force yet.
    no_route,       ///< No upstream is configured for the request.
    too_large,      ///< Exceeds the memory of every upstream and group of upstreams.
    cancelled,      ///< The client disconnected or cancelled the request.
    internal,       ///< A bug in this software.
    conflict,       ///< The ticket or idempotency key was used with a different body; not executed.
    quarantined,    ///< Upstreams crash under a part of the prompt, which isn't sent for a time.
};

/// Whether the refusal is transient, i.e. a later attempt could succeed.
[[nodiscard]] auto is_passing(refusal_code code) -> bool;
/// Name of a refusal code as used in responses and logs.
[[nodiscard]] auto to_string(refusal_code code) -> const char*;
/// Name of a ran state as used in responses and logs.
[[nodiscard]] auto to_string(ran_state ran) -> const char*;

/// Final response to a request that was not, or may not have been, executed.
struct refusal
{
    refusal_code code = refusal_code::internal; ///< Reason of the refusal.
    ran_state ran = ran_state::unknown;         ///< Whether the request was executed.
    duration retry_after{0};                    ///< Delay before a retry; zero if a retry can't succeed.
    std::string remedy;                         ///< What the client can do.

    friend auto operator==(const refusal&, const refusal&) -> bool = default;
};

} // namespace dragonflymill
