#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/retry/retry_budget.h"

#include <cstdint>
#include <variant>

namespace dragonflymill {

/// What may be done with a call whose fate is unknown.
enum class call_kind
{
    stream,         ///< A completion: another upstream can go on from what was delivered.
    idempotent,     ///< Running it twice does no harm.
    non_repeatable, ///< Running it twice does harm; it is run at most once.
};

/// How a try failed.
struct failed_attempt
{
    call_kind kind = call_kind::non_repeatable; ///< What may be done with the call.
    ran_state ran = ran_state::unknown;         ///< Whether the try was run.
    refusal_code code = refusal_code::internal; ///< Why it failed.
    duration retry_after{0};                    ///< When the upstream wants to be asked again.
    std::uint64_t attempts = 1;                 ///< Tries so far, this one included.
    bool others_left = true;                    ///< Whether an upstream is left that was not tried.

    friend auto operator==(const failed_attempt&, const failed_attempt&) -> bool = default;
};

/// Try again at `when`.
struct retry_at
{
    instant when; ///< Moment of the next try.

    friend auto operator==(const retry_at&, const retry_at&) -> bool = default;
};

/// What to do after a failed try: try again, or give the caller this final answer now.
using retry_decision = std::variant<retry_at, refusal>;

/// Settings of the retry rules.
struct retry_settings
{
    double retry_share = 0.1;         ///< Retries as a share of successes.
    double retry_burst = 20.0;        ///< Retries saved up at most.
    double resume_share = 0.5;        ///< Resumes of running streams as a share of successes.
    double resume_burst = 200.0;      ///< Resumes saved up at most: a failure domain's streams move at once.
    std::uint64_t max_attempts = 4;   ///< Tries at one call.
    duration initial_backoff{20'000}; ///< Wait before a second try at an upstream already tried.
    duration max_backoff{2'000'000};  ///< Longest wait of ours; an upstream may ask for more.
    duration least_useful{50'000};    ///< A try that would have less time than this is not made.

    friend auto operator==(const retry_settings&, const retry_settings&) -> bool = default;
};

/// Decides what follows a failed try. One for a gateway, since the budgets are shared by its calls.
class retry_rules
{
public:
    /// Draws the spread of waits with the sequence that belongs to `seed`.
    explicit retry_rules(std::uint64_t seed, retry_settings settings = {});

    /// Notes a try that went well.
    void succeeded();
    /// Decides what follows a failed try. The final answer is given at once, whatever time the call has left.
    [[nodiscard]] auto failed(instant now, const failed_attempt& attempt, const deadline_budget& limit)
        -> retry_decision;

private:
    [[nodiscard]] auto may_repeat(const failed_attempt& attempt) const -> bool;
    [[nodiscard]] auto wait_before(const failed_attempt& attempt) -> duration;
    [[nodiscard]] auto final_answer(const failed_attempt& attempt, duration wait) const -> refusal;

    retry_settings settings_;
    random_source random_;
    retry_budget retries_;
    retry_budget resumes_;
};

} // namespace dragonflymill
