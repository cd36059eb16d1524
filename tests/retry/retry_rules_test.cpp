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

auto answer(const retry_decision& decision) -> refusal
{
    cr_assert(std::holds_alternative<refusal>(decision));
    return std::get<refusal>(decision);
}

} // namespace

Test(retry_rules, decisions_repeat_for_one_seed)
{
    retry_rules one(5);
    retry_rules other(5);
    failed_attempt again = failure(call_kind::idempotent, ran_state::no);
    again.others_left = false;
    for (int i = 0; i < 15; ++i) {
        cr_assert(one.failed(now, again, limit_of(60s)) == other.failed(now, again, limit_of(60s)));
    }
}

FAULT_CELL(request_dispatch, process_dies)
{
    // A pensioner is billed twice. A booking is sent, its upstream dies, and the gateway sends it to another
    // one. Cause: "may have been run" is taken for "was not run". The answer comes at once and says unknown.
    retry_rules rules(1);
    const auto decided =
        rules.failed(now, failure(call_kind::non_repeatable, ran_state::unknown), limit_of(60s));
    cr_assert(answer(decided).ran == ran_state::unknown);
    cr_assert(answer(decided).code == refusal_code::upstream_gone);
    cr_assert(retried(rules.failed(now, failure(call_kind::non_repeatable, ran_state::no), limit_of(60s))));
    cr_assert(retried(rules.failed(now, failure(call_kind::idempotent, ran_state::unknown), limit_of(60s))));
    cr_assert(retried(rules.failed(now, failure(call_kind::stream, ran_state::unknown), limit_of(60s))));
}

FAULT_CELL(request_dispatch, partition)
{
    // All callers wait longer and longer. A partition fails every call, each is tried four times, and the
    // upstreams that are left get four times the load. Cause: retries without a budget.
    retry_rules rules(1);
    const failed_attempt each = failure(call_kind::idempotent, ran_state::no);
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        retries += retried(rules.failed(now, each, limit_of(60s))) ? 1 : 0;
    }
    cr_assert(retries == 20, "what was saved up and no more");
    cr_assert(answer(rules.failed(now, each, limit_of(60s))).retry_after > duration::zero());
    for (int i = 0; i < 20; ++i) {
        rules.succeeded();
    }
    cr_assert(retried(rules.failed(now, each, limit_of(60s))));
    cr_assert(retried(rules.failed(now, each, limit_of(60s))));
    cr_assert(not retried(rules.failed(now, each, limit_of(60s))), "a tenth of the successes");
}

FAULT_CELL(request_resume, domain_out)
{
    // Dossier checks are lost when a failure domain goes. Each of its running streams has to move at once,
    // after the budget for fresh retries is used up. Cause: resumes of accepted work drawn from the same
    // budget.
    retry_rules rules(1);
    while (retried(rules.failed(now, failure(call_kind::idempotent, ran_state::no), limit_of(60s)))) {
    }
    for (int i = 0; i < 100; ++i) {
        cr_assert(retried(rules.failed(now, failure(call_kind::stream, ran_state::unknown), limit_of(60s))));
    }
}

FAULT_CELL(request_dispatch, paused_wakes_late)
{
    // A caller is answered long after its limit. The gateway was paused; the limit is over, or nearly, when
    // it decides. Cause: a retry that can't end in time is made all the same.
    retry_rules rules(1);
    const failed_attempt each = failure(call_kind::idempotent, ran_state::no);
    cr_assert(answer(rules.failed(now + 61s, each, limit_of(60s))).code == refusal_code::deadline);
    cr_assert(answer(rules.failed(now + 60s - 10ms, each, limit_of(60s))).code ==
              refusal_code::upstream_gone);
    failed_attempt waits = each;
    waits.retry_after = 30s;
    waits.others_left = false;
    const auto decided = rules.failed(now, waits, limit_of(20s));
    cr_assert(answer(decided).retry_after >= 30s, "told at once, with the time that the upstream asks for");
}

FAULT_CELL(request_dispatch, same_twice)
{
    // One request is tried without end. Every try is refused as overloaded by the only upstream left. Cause:
    // tries without a bound, and without a growing wait.
    retry_rules rules(1);
    failed_attempt each = failure(call_kind::idempotent, ran_state::no, refusal_code::overloaded);
    each.others_left = false;
    duration last = duration::zero();
    for (; each.attempts < 4; ++each.attempts) {
        const auto decided = rules.failed(now, each, limit_of(60s));
        cr_assert(retried(decided));
        cr_assert(std::get<retry_at>(decided).when - now > last);
        last = std::get<retry_at>(decided).when - now;
    }
    cr_assert(answer(rules.failed(now, each, limit_of(60s))).code == refusal_code::overloaded);
}

FAULT_CELL(request_dispatch, config_stale)
{
    // A caller waits for tries that can't end differently. Its prompt is too large, or no upstream is
    // configured. Cause: lasting refusals are treated like passing ones.
    retry_rules rules(1);
    for (const auto code : {refusal_code::too_large, refusal_code::no_route, refusal_code::account_limit,
                            refusal_code::cancelled, refusal_code::deadline}) {
        cr_assert(not retried(
            rules.failed(now, failure(call_kind::idempotent, ran_state::no, code), limit_of(60s))));
    }
}
