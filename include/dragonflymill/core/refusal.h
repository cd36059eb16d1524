#pragma once

#include "dragonflymill/core/time.h"

#include <string>

namespace dragonflymill {

/// Whether a refused request was run. `no` is said only if it is certain.
enum class ran_state
{
    no,      ///< No byte that could start the work left for the upstream, and none will.
    unknown, ///< The work may have been run.
};

/// Why a request was refused.
enum class refusal_code
{
    account_limit,  ///< The client account is at one of its limits.
    overloaded,     ///< No capacity for this class of request now.
    upstream_cold,  ///< The upstreams are warming up and carry what they can.
    upstream_gone,  ///< The upstream was lost while it had the request.
    draining,       ///< The upstream or its failure domain takes no new work.
    stopping,       ///< This process is stopping.
    deadline,       ///< The request's time limit ran out.
    ticket_unknown, ///< The ticket's issuer is gone; whether it ran can't be told.
    not_ready,      ///< No bundle is in force here yet.
    no_route,       ///< No upstream is configured for it.
    too_large,      ///< Larger than any upstream, or group of upstreams, can hold.
    cancelled,      ///< The caller left or cancelled it.
    internal,       ///< A fault of ours.
    conflict,       ///< The ticket or key was used before with another body; this one was not run.
};

/// Whether the reason passes, so that another try could end differently.
[[nodiscard]] auto is_passing(refusal_code code) -> bool;
/// Name of a refusal code, as it stands in answers and logs.
[[nodiscard]] auto to_string(refusal_code code) -> const char*;
/// Name of a ran state, as it stands in answers and logs.
[[nodiscard]] auto to_string(ran_state ran) -> const char*;

/// The final answer to a request that was not, or may not have been, served.
struct refusal
{
    refusal_code code = refusal_code::internal; ///< Why.
    ran_state ran = ran_state::unknown;         ///< Whether it was run.
    duration retry_after{0};                    ///< When to come back; zero when coming back can't help.
    std::string remedy;                         ///< What the caller can do.

    friend auto operator==(const refusal&, const refusal&) -> bool = default;
};

} // namespace dragonflymill
