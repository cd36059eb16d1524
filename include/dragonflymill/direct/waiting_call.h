#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_attempts.h"
#include "dragonflymill/direct/dispatch_call.h"
#include "dragonflymill/direct/first_token_times.h"
#include "dragonflymill/quarantine/crash_evidence.h"

#include <cstdint>
#include <string>

namespace dragonflymill::direct {

/// A queued call that has no upstream yet.
struct waiting_call
{
    std::uint64_t id = 0;                       ///< Assigned by the owner of the dispatcher.
    std::string service;                        ///< Service that has to run it.
    std::int64_t prompt_tokens = 0;             ///< 0 for plain services.
    dragonflymill::prompt_parts prompt_parts;   ///< Parts of its prompt, and its request.
    std::uint64_t fingerprint = 0;              ///< The same for all repetitions of it by its caller.
    std::int64_t answer_tokens = 0;             ///< Maximum length of the answer.
    duration tbt_target{};                      ///< Longest time between two of its events; 0: no target.
    int priority = 0;                           ///< 0 is the highest.
    instant latency_target_at{};                ///< An answer that begins later misses the latency target.
    duration aim{};                             ///< Latency target: from arrival to `latency_target_at`.
    instant client_timeout_at{};                ///< When the client disconnects without an answer.
    instant deadline_at{};                      ///< End of the client's time, its retries included.
    instant queue_timeout_at{};                 ///< When it is refused if it is still queued.
    instant not_before{};                       ///< Not dispatched earlier, as memory could not be reserved.
    instant retry_at{};                         ///< Not dispatched earlier, as its last attempt failed.
    bool returning = false;                     ///< Its client was refused before and came back.
    call_attempts attempts;                     ///< Attempts so far.
    wait_reason blocked_by = wait_reason::none; ///< Why it was queued last; set by the dispatcher.

    friend auto operator==(const waiting_call&, const waiting_call&) -> bool = default;
};

/// Returns the class of a queued call.
[[nodiscard]] inline auto class_of(const waiting_call& call) -> call_class
{
    return {call.service, call.tbt_target};
}

} // namespace dragonflymill::direct
