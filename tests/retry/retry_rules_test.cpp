#include "dragonflymill/retry/retry_rules.h"
#include "support/fault_cell.h"

using namespace dragonflymill;

namespace {

constexpr instant now(100s);

auto limit_of(duration left) -> deadline_budget
{
    return {now, left};
}

auto failure(call_kind kind, ran_state ran, refusal_code code = refusal_code::upstream_gone) -> failed_attempt
{
    return {kind, ran, code, duration::zero(), 1, true};
}

auto retried(const retry_decision& decision) -> bool
{
    return std::holds_alternative<retry_at>(decision);
}

auto final_answer(const retry_decision& decision) -> refusal
{
    cr_assert(std::holds_alternative<refusal>(decision));
    return std::get<refusal>(decision);
}

} // namespace

Test(retry_rules, same_seed_gives_the_same_decisions)
{
    retry_rules one(5);
    retry_rules other(5);
    failed_attempt again = failure(call_kind::idempotent, ran_state::no);
    again.has_untried_upstream = false;
    for (int i = 0; i < 15; ++i) {
        cr_assert(one.failed(now, again, limit_of(60s)) == other.failed(now, again, limit_of(60s)));
    }
}

FAULT_CELL(request_dispatch, process_dies)
{
    // The upstream of a booking dies after the call was sent. Treating "may have been run" as "not run" would
    // send it to another upstream and make the booking twice. It must be refused at once as unknown.
    retry_rules rules(1);
    const auto decided =
        rules.failed(now, failure(call_kind::non_repeatable, ran_state::unknown), limit_of(60s));
    cr_assert(final_answer(decided).ran == ran_state::unknown);
    cr_assert(final_answer(decided).code == refusal_code::upstream_gone);
    cr_assert(retried(rules.failed(now, failure(call_kind::non_repeatable, ran_state::no), limit_of(60s))));
    cr_assert(retried(rules.failed(now, failure(call_kind::idempotent, ran_state::unknown), limit_of(60s))));
    cr_assert(retried(rules.failed(now, failure(call_kind::stream, ran_state::unknown), limit_of(60s))));
}

FAULT_CELL(request_dispatch, partition)
{
    // A partition fails every call. Without a retry budget each is tried four times, and the remaining
    // upstreams get four times the load.
    retry_rules rules(1);
    const failed_attempt each = failure(call_kind::idempotent, ran_state::no);
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        retries += retried(rules.failed(now, each, limit_of(60s))) ? 1 : 0;
    }
    cr_assert(retries == 20, "only the initial budget may be used");
    cr_assert(final_answer(rules.failed(now, each, limit_of(60s))).retry_after > duration::zero());
    for (int i = 0; i < 20; ++i) {
        rules.succeeded();
    }
    cr_assert(retried(rules.failed(now, each, limit_of(60s))));
    cr_assert(retried(rules.failed(now, each, limit_of(60s))));
    cr_assert(not retried(rules.failed(now, each, limit_of(60s))), "successes add a tenth of a retry each");
}

FAULT_CELL(request_resume, domain_out)
{
    // A failure domain is lost after the budget of ordinary retries is used up. Each of its running streams
    // must move at once, so resumes must not draw from the same budget.
    retry_rules rules(1);
    while (retried(rules.failed(now, failure(call_kind::idempotent, ran_state::no), limit_of(60s)))) {
    }
    for (int i = 0; i < 100; ++i) {
        cr_assert(retried(rules.failed(now, failure(call_kind::stream, ran_state::unknown), limit_of(60s))));
    }
}

FAULT_CELL(request_dispatch, paused_wakes_late)
{
    // The gateway was paused, and the time limit has expired or nearly so when it decides. A retry that can't
    // finish in time must not be made.
    retry_rules rules(1);
    const failed_attempt each = failure(call_kind::idempotent, ran_state::no);
    cr_assert(final_answer(rules.failed(now + 61s, each, limit_of(60s))).code == refusal_code::deadline);
    cr_assert(final_answer(rules.failed(now + 60s - 10ms, each, limit_of(60s))).code ==
              refusal_code::upstream_gone);
    failed_attempt waits = each;
    waits.retry_after = 30s;
    waits.has_untried_upstream = false;
    const auto decided = rules.failed(now, waits, limit_of(20s));
    cr_assert(final_answer(decided).retry_after >= 30s,
              "must state the retry time that the upstream asked for");
}

FAULT_CELL(request_dispatch, same_twice)
{
    // The only upstream left refuses every attempt as overloaded. Attempts must be bounded and their backoff
    // must grow.
    retry_rules rules(1);
    failed_attempt each = failure(call_kind::idempotent, ran_state::no, refusal_code::overloaded);
    each.has_untried_upstream = false;
    duration last = duration::zero();
    for (; each.attempts < 4; ++each.attempts) {
        const auto decided = rules.failed(now, each, limit_of(60s));
        cr_assert(retried(decided));
        cr_assert(std::get<retry_at>(decided).when - now > last);
        last = std::get<retry_at>(decided).when - now;
    }
    cr_assert(final_answer(rules.failed(now, each, limit_of(60s))).code == refusal_code::overloaded);
}

FAULT_CELL(request_dispatch, config_stale)
{
    // The refusal can't change: the prompt is too large, or no upstream is configured. Permanent refusals
    // must not be retried.
    retry_rules rules(1);
    for (const auto code : {refusal_code::too_large, refusal_code::no_route, refusal_code::account_limit,
                            refusal_code::cancelled, refusal_code::deadline}) {
        cr_assert(not retried(
            rules.failed(now, failure(call_kind::idempotent, ran_state::no, code), limit_of(60s))));
    }
}
