#include "standins/demo_run.h"

#include "standins/engine_standin.h"
#include "standins/service_standin.h"
#include "standins_self/fake_gateway.h"
#include "standins_self/support_calls.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::standins;

namespace {

/// Runs a small demo against one gateway with the given fault.
auto results_with(gateway_fault fault) -> demo_results
{
    const service_standin service({});
    const fake_gateway gateway(address_of(service), fault);
    demo_settings settings;
    settings.gateways = {address_of(gateway)};
    settings.account_keys = {"key"};
    settings.services = {address_of(service)};
    settings.load.requests = 20;
    settings.load.bookings = 5;
    settings.load.warm_up = duration::zero();
    settings.load.length = 500ms;
    settings.load.longest = 50'000;
    demo_run demo(settings);
    return demo.run();
}

} // namespace

Test(demo_run, plan_is_the_same_for_the_same_seed)
{
    const load_size size;
    cr_assert(make_plan(size) == make_plan(size));
    const auto plan = make_plan(size);
    cr_assert(plan.completions.size() == 300);
    const auto is_longest = [](const auto& item) { return item.tokens == 1'000'000; };
    cr_assert(std::any_of(plan.completions.begin(), plan.completions.end(), is_longest));
    cr_assert(prompt_text(100, 1) == prompt_text(100, 1));
    cr_assert(digest_of(prompt_text(100, 1)).tokens == 100);
}

Test(demo_run, run_without_faults_is_clean)
{
    const auto results = results_with(gateway_fault::none);
    cr_assert(is_clean(results), "%s", report_text(results).c_str());
    cr_assert(results.completions.size() == 40);
    cr_assert(results.bookings.size() == 5);
    cr_assert(results.bookings.front().confirmations == 2);
    cr_assert(results.bookings.front().executions == 1);
}

Test(demo_run, retries_a_refused_request)
{
    const auto results = results_with(gateway_fault::refuses_first);
    cr_assert(is_clean(results));
    cr_assert(results.refusals.at("overload").later == 1);
    cr_assert(results.completions.front().refusals == 1);
    cr_assert(results.completions.front().end == completion_end::answered);
}

Test(demo_run, gives_up_when_retry_after_exceeds_the_retry_limit)
{
    const auto results = results_with(gateway_fault::refuses_for_long);
    cr_assert(results.completions.front().end == completion_end::refused);
    cr_assert(results.completions.front().refusals == 0);
    cr_assert(results.refusals.at("account_limit").longest_retry_after == 600s);
    cr_assert(is_clean(results), "a truthful refusal is no loss");
}

Test(demo_run, detects_every_kind_of_lost_completion)
{
    cr_assert(results_with(gateway_fault::cuts_a_stream).completions.front().end == completion_end::broken);
    cr_assert(results_with(gateway_fault::skips_a_token).completions.front().end == completion_end::wrong);
    const auto failed = results_with(gateway_fault::error_in_stream);
    cr_assert(failed.completions.front().end == completion_end::failed);
    cr_assert(lost_completions(failed) == 1);
    cr_assert(!is_clean(failed));
}

Test(demo_run, detects_doubled_and_lost_bookings)
{
    const auto doubled = results_with(gateway_fault::books_twice);
    cr_assert(doubled_bookings(doubled) == 5);
    cr_assert(!is_clean(doubled));
    const auto lost = results_with(gateway_fault::confirms_nothing);
    cr_assert(lost_bookings(lost) == 5);
    cr_assert(!is_clean(lost));
}

Test(demo_run, detects_leaked_memory_and_work_in_a_drained_domain)
{
    demo_results results;
    results.engines = {{"a", 0, 0}, {"b", 10, 0}};
    cr_assert(!is_clean(results));
    results.engines[1].memory_used = 0;
    cr_assert(is_clean(results));
    results.work_at_drained = 1;
    cr_assert(!is_clean(results));
    results.work_at_drained.reset();
    results.actions_done = false;
    cr_assert(!is_clean(results));
}

Test(demo_run, booking_of_unknown_outcome_is_lost_unless_reported_not_run)
{
    demo_results results;
    results.bookings.resize(1);
    results.bookings.front().unknown = 1;
    cr_assert(lost_bookings(results) == 1);
    results.bookings.front().surely_not_run = true;
    cr_assert(lost_bookings(results) == 0);
    results.bookings.front().executions = 1;
    cr_assert(lost_bookings(results) == 1);
}

Test(demo_run, report_keeps_warm_up_apart_from_the_mix)
{
    demo_results results;
    results.completions.resize(1);
    results.completions.front().phase = demo_phase::warm_up;
    results.completions.front().plan.tokens = 2'000;
    results.completions.front().end = completion_end::answered;
    results.completions.front().first_token = 7s;
    cr_assert(report_text(results).find("7000.0") == std::string::npos);
    results.completions.front().phase = demo_phase::mix;
    cr_assert(report_text(results).find("7000.0") != std::string::npos);
}

Test(demo_run, percentile_uses_the_nearest_rank)
{
    cr_assert(!percentile({}, 50));
    cr_assert(percentile({3, 1, 2}, 50) == 2);
    cr_assert(percentile({3, 1, 2}, 99) == 3);
}
