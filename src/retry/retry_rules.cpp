#include "dragonflymill/retry/retry_rules.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr std::uint64_t max_doublings = 20;

auto remedy_for(const failed_attempt& attempt) -> const char*
{
    if (attempt.ran == ran_state::unknown && attempt.kind == call_kind::non_repeatable) {
        return "it may have been run: ask for its status before you send it again";
    }
    return is_passing(attempt.code) ? "send it again after the time given" : "sending it again can't help";
}

} // namespace

retry_rules::retry_rules(std::uint64_t seed, retry_settings settings)
    : settings_(settings)
    , random_(seed)
    , retries_(settings.retry_share, settings.retry_burst)
    , resumes_(settings.resume_share, settings.resume_burst)
{
}

void retry_rules::succeeded()
{
    retries_.succeeded();
    resumes_.succeeded();
}

auto retry_rules::failed(instant now, const failed_attempt& attempt, const deadline_budget& limit)
    -> retry_decision
{
    const duration wait = backoff_before(attempt);
    if (limit.remaining(now) < wait + settings_.min_attempt_time) {
        refusal answer = final_answer(attempt, wait);
        answer.code = limit.expired(now) ? refusal_code::deadline : answer.code;
        return answer;
    }
    if (!may_retry(attempt)) {
        return final_answer(attempt, wait);
    }
    const bool running_stream = attempt.kind == call_kind::stream && attempt.ran == ran_state::unknown;
    retry_budget& budget = running_stream ? resumes_ : retries_;
    if (!budget.take()) {
        return final_answer(attempt, std::max(wait, settings_.max_backoff));
    }
    return retry_at{now + wait};
}

auto retry_rules::may_retry(const failed_attempt& attempt) const -> bool
{
    // Guards against a booking made twice: a non-repeatable call whose outcome is unknown is never sent
    // again. One that was certainly not run may be.
    if (attempt.ran == ran_state::unknown && attempt.kind == call_kind::non_repeatable) {
        return false;
    }
    return is_passing(attempt.code) && attempt.attempts < settings_.max_attempts;
}

auto retry_rules::backoff_before(const failed_attempt& attempt) -> duration
{
    if (attempt.has_untried_upstream) {
        return duration::zero();
    }
    const std::uint64_t doublings = std::min(std::max<std::uint64_t>(attempt.attempts, 1) - 1, max_doublings);
    const auto longest = static_cast<double>(settings_.max_backoff.count());
    const double grown =
        static_cast<double>(settings_.initial_backoff.count()) * static_cast<double>(1ULL << doublings);
    // Half of the backoff is random, so that calls which failed together don't retry together.
    const double spread = std::min(grown, longest) * (0.5 + 0.5 * random_.unit());
    return std::max(attempt.retry_after, duration(static_cast<duration::rep>(spread)));
}

auto retry_rules::final_answer(const failed_attempt& attempt, duration wait) const -> refusal
{
    const duration retry_after = std::max({attempt.retry_after, wait, settings_.initial_backoff});
    const bool can_help = is_passing(attempt.code);
    return {attempt.code, attempt.ran, can_help ? retry_after : duration::zero(), remedy_for(attempt)};
}

} // namespace dragonflymill
