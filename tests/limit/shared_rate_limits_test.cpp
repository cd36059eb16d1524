#include "dragonflymill/limit/shared_rate_limits.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

namespace {

constexpr instant start(100s);
constexpr upstream_run engine = 7;

} // namespace

Test(shared_rate_limits, report_carries_the_limit_its_age_and_the_calls)
{
    shared_rate_limits limits(1);
    limits.count_call(engine, start);
    cr_assert(limits.own_calls(engine) == 0, "calls to an unlimited upstream don't count");
    cr_assert(limits.record(engine, {true, 2.0}, start, start));
    const std::uint64_t before = limits.version();
    limits.count_call(engine, start);
    const rate_limit_report expected{engine, 2.0, 3s, true, 1};
    cr_assert(limits.reports(start + 3s, 0).size() == 1);
    cr_assert(limits.reports(start + 3s, 0).front() == expected);
    cr_assert(limits.reports(start + 3s, 0, before).size() == 1);
    cr_assert(limits.reports(start + 3s, 0, limits.version()).empty());
}

// Datagrams may arrive out of order, and a gateway that restarted counts from zero under another name.
Test(shared_rate_limits, counts_of_other_gateways_only_grow)
{
    shared_rate_limits limits(1);
    cr_assert(limits.apply_report("g1", {engine, 2.0, 1s, true, 5}, start));
    (void)limits.apply_report("g1", {engine, 2.0, 1s, true, 4}, start);
    (void)limits.apply_report("g2", {engine, 2.0, 1s, true, 1}, start);
    limits.count_call(engine, start);
    cr_assert(limits.all_calls(engine) == 7, "%lu", static_cast<unsigned long>(limits.all_calls(engine)));
    limits.remove_gateway("g1");
    cr_assert(limits.all_calls(engine) == 2);
}

// Guards against a digest that outgrows its datagram when all upstreams are limited at once, and against
// limits that would never be reported then.
Test(shared_rate_limits, many_limits_are_reported_in_turn)
{
    shared_rate_limits limits(1);
    constexpr upstream_run count = 100;
    for (upstream_run upstream = 1; upstream <= count; ++upstream) {
        (void)limits.record(upstream, {true, 1.0}, start, start);
    }
    std::set<upstream_run> reported;
    for (std::uint64_t round = 0; round < 4; ++round) {
        const auto reports = limits.reports(start, round);
        cr_assert(reports.size() == shared_rate_limits::max_reports);
        for (const rate_limit_report& report : reports) {
            reported.insert(report.upstream);
        }
    }
    cr_assert(reported.size() == count);
}

// Guards against digests by the square of the number of gateways: what a gateway is told at second hand makes
// no digest of its own due. It is part of the next whole digest, for gateways that have just started.
Test(shared_rate_limits, reported_limit_is_not_passed_on_at_once)
{
    shared_rate_limits limits(1);
    const std::uint64_t before = limits.version();
    cr_assert(limits.apply_report("g1", {engine, 2.0, 1s, true, 3}, start));
    cr_assert(limits.version() == before);
    cr_assert(limits.reports(start, 0).size() == 1 && !limits.reports(start, 0).front().first_hand);
}
