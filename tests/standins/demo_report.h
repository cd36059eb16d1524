#pragma once

#include "standins/load_plan.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// How one completion ended.
enum class completion_end
{
    answered, ///< Whole, and the expected answer.
    refused,  ///< Refused to the last, never run.
    failed,   ///< Ended with an explicit error.
    broken,   ///< Ended with neither an end nor an error, or not in its time limit.
    wrong,    ///< Looked whole, but isn't the expected answer.
};

/// Number of ends.
inline constexpr std::size_t completion_end_count = 5;

/// What the caller of one completion saw.
struct completion_result
{
    planned_completion plan;                     ///< What was sent.
    demo_phase phase = demo_phase::mix;          ///< When it was sent.
    completion_end end = completion_end::broken; ///< How it ended.
    int refusals = 0;                            ///< Refusals met on the way, each followed by a retry.
    std::optional<duration> first_token;         ///< From the first try.
    duration whole{};                            ///< From the first try to the end.
    std::string why;                             ///< Of an end that isn't an answer.
};

/// What became of one booking.
struct booking_result
{
    std::string key;             ///< Its idempotency key.
    demo_phase phase{};          ///< When it was first sent.
    int confirmations = 0;       ///< Tries that were answered with success.
    int unknown = 0;             ///< Tries whose answer was that it may have run.
    bool surely_not_run = false; ///< Whether the last answer to a try said that it was not run.
    int not_run = 0;             ///< Tries whose answer was that it wasn't run.
    std::int64_t executions = 0; ///< At all services together.
    std::string why;             ///< Last refusal or failure.
};

/// One engine's ledger after the run.
struct engine_leftover
{
    std::string address;          ///< Where.
    token_count memory_used = -1; ///< Tokens still held; -1 if it can't be read.
    std::int64_t falls = 0;       ///< Restarts by overload in cold start.
};

/// Refusals of one code.
struct refusal_tally
{
    std::int64_t in_warm_up = 0;    ///< Met in the warm-up.
    std::int64_t later = 0;         ///< Met after it.
    duration longest_retry_after{}; ///< The longest time after which to come again.
};

/// Everything that the demo measured.
struct demo_results
{
    std::vector<completion_result> completions;    ///< All.
    std::vector<booking_result> bookings;          ///< All.
    std::vector<engine_leftover> engines;          ///< All.
    std::map<std::string, refusal_tally> refusals; ///< Refusals met, retried ones included, by code.
    std::optional<std::int64_t> work_at_drained;   ///< Streams that engines of the domain taken out
                                                   ///< began later than the grace time.
    bool actions_done = true;                      ///< Whether the operators' actions went well.
    duration length{};                             ///< Of the whole run.
};

/// The value below which `percent` of the values lie (nearest rank); nothing without values.
[[nodiscard]] auto percentile(std::vector<double> values, double percent) -> std::optional<double>;

/// Completions that ended otherwise than by a whole answer or a refusal.
[[nodiscard]] auto lost_completions(const demo_results& results) -> std::int64_t;
/// Bookings confirmed and never executed, executed and never confirmed, or whose caller was left in doubt.
[[nodiscard]] auto lost_bookings(const demo_results& results) -> std::int64_t;
/// Bookings executed more than once.
[[nodiscard]] auto doubled_bookings(const demo_results& results) -> std::int64_t;
/// Whether the run shows nothing lost, doubled or leaked, and no new work in a domain taken out.
[[nodiscard]] auto is_clean(const demo_results& results) -> bool;
/// The table.
[[nodiscard]] auto report_text(const demo_results& results) -> std::string;

} // namespace dragonflymill::standins
