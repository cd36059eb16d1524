#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/retry/retry_budget.h"

#include <cstdint>
#include <variant>

namespace dragonflymill {

/// What may be done with a call whose outcome is unknown.
enum class call_kind
{
    stream,         ///< A completion; another upstream can continue after the tokens delivered.
    idempotent,     ///< Running it twice does no harm.
    non_repeatable, ///< Running it twice does harm; it is run at most once.
};

/// A failed attempt at a call.
struct failed_attempt
{
    call_kind kind = call_kind::non_repeatable;
    ran_state ran = ran_state::unknown;         ///< Whether the attempt was run.
    refusal_code code = refusal_code::internal; ///< Why it failed.
    duration retry_after{0};          ///< Minimum time to the next attempt that the upstream asks for.
    std::uint64_t attempts = 1;       ///< Attempts so far, this one included.
    bool has_untried_upstream = true; ///< Whether there is an upstream that was not tried.

    friend auto operator==(const failed_attempt&, const failed_attempt&) -> bool = default;
};

/// Retry at `when`.
struct retry_at
{
    instant when; ///< Time of the next attempt.

    friend auto operator==(const retry_at&, const retry_at&) -> bool = default;
};

/// What follows a failed attempt: a retry, or this final answer for the caller now.
using retry_decision = std::variant<retry_at, refusal>;

/// Settings of `retry_rules`.
struct retry_settings
{
    double retry_share = 0.1;          ///< Retries added to the budget for each success.
    double retry_burst = 20.0;         ///< Maximum retries in the budget.
    double resume_share = 0.5;         ///< Resumes of running streams added to their budget for each success.
    double resume_burst = 200.0;       ///< Maximum resumes saved up; a domain's streams move at once.
    std::uint64_t max_attempts = 4;    ///< Maximum attempts at one call.
    duration initial_backoff{20'000};  ///< Backoff before a second attempt at an upstream already tried.
    duration max_backoff{2'000'000};   ///< Maximum backoff; an upstream may ask for more.
    duration min_attempt_time{50'000}; ///< No attempt is made with less time left than this.

    friend auto operator==(const retry_settings&, const retry_settings&) -> bool = default;
};

/// Decides what follows a failed attempt. A gateway has one instance, since its calls share the budgets.
class retry_rules
{
public:
    /// Creates rules whose jitter is determined by `seed`.
    explicit retry_rules(std::uint64_t seed, retry_settings settings = {});

    /// Notes a successful attempt.
    void succeeded();
    /// Decides what follows a failed attempt. A final answer is returned at once, whatever time the call has
    /// left.
    [[nodiscard]] auto failed(instant now, const failed_attempt& attempt, const deadline_budget& limit)
        -> retry_decision;

private:
    [[nodiscard]] auto may_retry(const failed_attempt& attempt) const -> bool;
    [[nodiscard]] auto backoff_before(const failed_attempt& attempt) -> duration;
    [[nodiscard]] auto final_answer(const failed_attempt& attempt, duration wait) const -> refusal;

    retry_settings settings_;
    random_source random_;
    retry_budget retries_;
    retry_budget resumes_;
};

} // namespace dragonflymill
