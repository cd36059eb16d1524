#pragma once

#include "standins/load_plan.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// Outcome of a completion.
enum class completion_end
{
    answered, ///< Complete, with the expected answer.
    refused,  ///< Refused on the last attempt; never run.
    failed,   ///< Ended with an explicit error.
    broken,   ///< The stream broke off or timed out without an end event or an error.
    wrong,    ///< Complete, but not the expected answer.
};

/// Number of enumerators of completion_end.
inline constexpr std::size_t completion_end_count = 5;

/// Result of one completion, as its caller observed it.
struct completion_result
{
    planned_completion plan;                     ///< The planned request.
    demo_phase phase = demo_phase::mix;          ///< Phase in which it was sent.
    completion_end end = completion_end::broken; ///< Outcome.
    int refusals = 0;                            ///< Number of refusals that were retried.
    std::optional<duration> first_token;         ///< Time to first token, since the first attempt.
    duration whole{};                            ///< Total time, since the first attempt.
    std::string why;                             ///< Error of an outcome other than answered.
};

/// Result of one booking.
struct booking_result
{
    std::string key;             ///< Idempotency key.
    demo_phase phase{};          ///< Phase in which it was first sent.
    int confirmations = 0;       ///< Attempts answered with success.
    int unknown = 0;             ///< Attempts whose answer, or lack of one, means that it may have run.
    bool surely_not_run = false; ///< Whether the last unsuccessful attempt was reported as not run.
    int not_run = 0;             ///< Attempts reported as not run.
    std::int64_t executions = 0; ///< Executions, summed over all services.
    std::string why;             ///< Last error.
};

/// State of an engine after the run, from its ledger.
struct engine_leftover
{
    std::string address;          ///< Address of the engine.
    token_count memory_used = -1; ///< Tokens still held; -1 if the ledger can't be read.
    std::int64_t falls = 0;       ///< Crashes from overload while cold.
};

/// Refusals with the same error code.
struct refusal_tally
{
    std::int64_t in_warm_up = 0;    ///< Number in the warm-up.
    std::int64_t later = 0;         ///< Number after the warm-up.
    duration longest_retry_after{}; ///< Longest retry-after time received.
};

/// All results of a demo run.
struct demo_results
{
    std::vector<completion_result> completions;    ///< All.
    std::vector<booking_result> bookings;          ///< All.
    std::vector<engine_leftover> engines;          ///< All.
    std::map<std::string, refusal_tally> refusals; ///< Refusals by code, including those retried.
    std::optional<std::int64_t> work_at_drained;   ///< Streams that engines of the drained domain
                                                   ///< started after the grace time.
    bool actions_done = true; ///< Whether the gateways became ready, the operator actions succeeded and their
                              ///< ledgers could be read.
    duration length{};        ///< Duration of the whole run.
};

/// Percentile by the nearest-rank method; nullopt without values.
[[nodiscard]] auto percentile(std::vector<double> values, double percent) -> std::optional<double>;

/// Number of completions that ended neither with the expected answer nor with a refusal.
[[nodiscard]] auto lost_completions(const demo_results& results) -> std::int64_t;
/// Number of bookings confirmed but not executed, executed but not confirmed, or neither confirmed nor
/// finally reported as not run.
[[nodiscard]] auto lost_bookings(const demo_results& results) -> std::int64_t;
/// Number of bookings executed more than once.
[[nodiscard]] auto doubled_bookings(const demo_results& results) -> std::int64_t;
/// Whether nothing was lost, doubled or leaked, the drained domain got no new work, and all operator actions
/// succeeded.
[[nodiscard]] auto is_clean(const demo_results& results) -> bool;
/// The results as a table for the terminal.
[[nodiscard]] auto report_text(const demo_results& results) -> std::string;

} // namespace dragonflymill::standins
