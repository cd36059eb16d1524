#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_dispatcher.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// What the log says of a dispatched call beside its assignment.
struct dispatch_details
{
    std::string request;              ///< Id of the request.
    std::uint64_t fingerprint = 0;    ///< The same for all repetitions of the request by its caller.
    std::uint64_t attempt = 0;        ///< Number of this dispatch, from 1.
    duration waited{};                ///< Time since the request's arrival.
    duration time_to_target{};        ///< Left until the latency target is missed; negative afterwards.
    std::int64_t prompt_tokens = 0;   ///< 0 for plain services.
    std::int64_t answer_tokens = 0;   ///< Maximum length of the answer.
    duration view_age{};              ///< Age of this gateway's view of its cell.
    std::uint64_t config_version = 0; ///< Configuration under which the call is served.
    std::uint64_t fleet_revision = 0; ///< Newest revision of the published records that is known.
    std::string_view prompt_parts;    ///< Parts of the prompt, as the caller states them.

    friend auto operator==(const dispatch_details&, const dispatch_details&) -> bool = default;
};

/// Returns the start of the prompt parts that a caller states, as they are logged.
[[nodiscard]] auto logged_prompt_parts(std::string_view stated) -> std::string_view;

/// Logs that a call is dispatched, and the rate limit of its upstream if it has one.
void log_dispatched(const direct::dispatch_assignment& assignment, const dispatch_details& details,
                    instant now);

} // namespace dragonflymill::edge
