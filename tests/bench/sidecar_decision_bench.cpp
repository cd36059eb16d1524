// Measures the time of one decision of the sidecar's components, by the number of entries they hold. Figures
// are real time and vary between runs, so the median of several rounds is printed.

#include "admission/permit_controller_fixture.h"
#include "dragonflymill/lease/lease_table.h"
#include "dragonflymill/order/order_tracker.h"
#include "once/once_fixture.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <vector>

using namespace dragonflymill;

namespace {

constexpr int rounds = 9;

/// Median nanoseconds per call over several rounds of `count` calls.
auto median_ns(int count, const std::function<void(int)>& call) -> double
{
    std::vector<double> all;
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto began = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            call(number++);
        }
        const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
        all.push_back(took.count() / count);
    }
    std::sort(all.begin(), all.end());
    return all[rounds / 2];
}

void print_row(const char* what, std::size_t held, double ns)
{
    std::printf("| %s | %zu | %.0f |\n", what, held, ns);
}

void measure_permits(std::size_t held)
{
    permit_controller_options options = test::gate_options();
    options.ramp.floor = 100'000;
    options.ramp.ceiling = 100'000;
    options.max_permits = 100'000;
    permit_controller subject(test::at(0s), options);
    for (std::size_t i = 0; i < held; ++i) {
        static_cast<void>(test::granted(subject, test::at(0s), test::ask_of("g", 1)));
    }
    print_row("permit: ask, begin, first token, done", held, median_ns(2'000, [&](int) {
                  const auto lease = test::granted(subject, test::at(1s), test::ask_of("g", 1));
                  static_cast<void>(subject.begin(test::at(1s), *lease));
                  subject.first_token(test::at(1s), *lease);
                  subject.done(test::at(1s), *lease, work_outcome::success);
              }));
    print_row("permit: refusal", held, median_ns(2'000, [&](int) {
                  static_cast<void>(test::refused(subject, test::at(1s), test::ask_of("g", 79'999)));
              }));
    print_row("permit: tick", held,
              median_ns(200, [&](int) { static_cast<void>(subject.tick(test::at(1s))); }));
}

void measure_once_ledger(std::size_t held)
{
    once_ledger_options options = test::ledger_options(1);
    options.max_calls = 200'000;
    options.max_bytes = std::size_t{1} << 30U;
    once_ledger subject(options);
    subject.renew_own_lease(test::at(100'000s));
    const auto book = [&](const once_call& call) {
        const call_serial serial = test::run_serial(subject.submit(test::at(60s), call));
        static_cast<void>(subject.sending(test::at(60s), serial));
        subject.answered(test::at(60s), serial, {201, "application/json", "{}", true});
    };
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < held; ++i) {
        book(test::by_key(test::timed_key(59s, number++)));
    }
    print_row("once: key from submission to answer", held,
              median_ns(1'000, [&](int) { book(test::by_key(test::timed_key(59s, number++))); }));
    print_row("once: ticket from issue to answer", held,
              median_ns(1'000, [&](int) { book(test::by_ticket(test::mint(subject, test::at(60s)))); }));
    const once_call again = test::by_key(test::timed_key(59s, 0));
    print_row("once: replay", held,
              median_ns(1'000, [&](int) { static_cast<void>(subject.submit(test::at(60s), again)); }));
}

void measure_leases(std::size_t held)
{
    lease_table subject({.max_holdings = 200'000}, 1);
    const process_id owner("g");
    std::vector<lease_id> all;
    const auto hold = [&](int number) {
        const holding what{{false, "request-" + std::to_string(number)}, holding_kind::stream, 100};
        all.push_back(subject.hold(test::at(0s), owner, what).value().lease);
    };
    for (std::size_t i = 0; i < held; ++i) {
        hold(-1 - static_cast<int>(i));
    }
    print_row("lease: hold, then end", held, median_ns(1'000, [&](int number) {
                  hold(number);
                  subject.confirmed({false, "request-" + std::to_string(number)});
              }));
    print_row("lease: renew", held, median_ns(1'000, [&](int number) {
                  static_cast<void>(
                      subject.renew(test::at(0s), all[static_cast<std::size_t>(number) % held]));
              }));
    engine_inventory listed{test::at(0s), incarnation(1), {}};
    for (std::size_t i = 0; i < held; ++i) {
        listed.held.push_back({{false, "request--" + std::to_string(i + 1)}, holding_kind::stream, 100});
    }
    print_row("lease: compare with the engine's inventory", held,
              median_ns(5, [&](int) { subject.reconcile(test::at(0s), listed); }));
}

} // namespace

auto main() -> int
{
    std::printf("| decision | held | ns |\n|---|---|---|\n");
    for (const std::size_t held : {std::size_t{16}, std::size_t{256}, std::size_t{4'096}}) {
        measure_permits(held);
    }
    for (const std::size_t held : {std::size_t{100}, std::size_t{5'000}, std::size_t{50'000}}) {
        measure_once_ledger(held);
    }
    for (const std::size_t held : {std::size_t{16}, std::size_t{256}, std::size_t{4'096}}) {
        measure_leases(held);
    }
    return 0;
}
