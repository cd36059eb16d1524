// Simulates many gateways that send to one cold upstream, on a virtual clock: when 90 % of its capacity is
// allowed again, and whether it ever received more than its capacity. Figures are reproducible exactly.

#include "admission/cold_upstream_rig.h"

#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

void print_row(const char* name, const cold_rig_options& options)
{
    const cold_rig_outcome outcome = cold_rig(options).run();
    const double warm_at = std::chrono::duration<double>(options.course.warming_ends).count();
    const double ninety =
        outcome.ninety_percent ? std::chrono::duration<double>(*outcome.ninety_percent).count() : -1;
    const double last_over = std::chrono::duration<double>(outcome.last_over).count();
    std::printf("| %s | %u | %.1f | %.2f | %.2f | %llu | %.1f | %.2f | %llu | %llu | %llu | %llu |\n", name,
                options.gateways * options.asks_of_each, warm_at, ninety, ninety - warm_at,
                static_cast<unsigned long long>(outcome.over_carried),
                100.0 * static_cast<double>(outcome.most_over) / static_cast<double>(options.course.warm),
                last_over, static_cast<unsigned long long>(outcome.falls),
                static_cast<unsigned long long>(outcome.granted),
                static_cast<unsigned long long>(outcome.refused),
                static_cast<unsigned long long>(outcome.most_asks_in_10ms));
}

} // namespace

auto main() -> int
{
    std::printf(
        "| upstream | askers | warm at (s) | 90 %% allowed at (s) | after warm (s) | grants over what it "
        "carries | most over (%% of warm) | last over at (s) | falls when open | granted | refused | most "
        "asks in 10 ms |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    cold_rig_options step;
    print_row("cold for 20 s, then warm at once", step);
    cold_rig_options even;
    even.course.warming_begins = 5s;
    even.course.warming_ends = 25s;
    print_row("warms up evenly from 5 s to 25 s", even);
    cold_rig_options fast = even;
    fast.course.warming_ends = 8s;
    print_row("warms up evenly from 5 s to 8 s", fast);
    for (const double error : {0.8, 1.25}) {
        cold_rig_options wrong = even;
        wrong.expected_error = error;
        print_row(error < 1 ? "the same, expected line 20 % too fast"
                            : "the same, expected line 25 % too slow",
                  wrong);
    }
    cold_rig_options again = step;
    again.course.cold_again = 50s;
    print_row("warm at 20 s, cold again from 50 s to 60 s", again);
    cold_rig_options tail = step;
    tail.course.outliers = 0.01;
    print_row("as the first, 1 % take ten times as long", tail);
    tail.cold_sign = {1, 0.0, 500ms};
    print_row("the same, each slow first token a cold sign", tail);
    cold_rig_options blind = step;
    blind.expected_line = false;
    print_row("cold for 20 s, no expected line", blind);
    cold_rig_options slow_line = blind;
    slow_line.course.warming_begins = 60s;
    slow_line.course.warming_ends = 60s;
    print_row("cold for 60 s, no expected line", slow_line);
    for (const std::uint32_t gateways : {41U, 820U, 4100U}) {
        cold_rig_options scaled = step;
        scaled.gateways = gateways;
        scaled.asks_of_each = gateways < 410 ? 10 : 1;
        print_row("cold for 20 s, then warm at once", scaled);
    }
    cold_rig_options few_calls = step;
    few_calls.course.cold = 2;
    few_calls.course.warm = 32;
    few_calls.cost = 1;
    few_calls.prefill = 0;
    print_row("plain service of 32 calls, 2 when cold", few_calls);
    return 0;
}
