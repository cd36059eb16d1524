// Measures non-idempotent calls: how many bookings a restarted owner answers with `unknown`, for how long,
// and how many calls the ledger remembers per megabyte. The first table uses a virtual clock and is
// reproducible exactly.

#include "once/once_fixture.h"

#include <cstdio>
#include <malloc.h>
#include <memory>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

/// Interval between two bookings at one owner.
constexpr duration between_bookings = 100ms;
/// Time from the creation of a key to its arrival.
constexpr duration transit_time = 50ms;

enum class key_kind
{
    ticket,
    timed_key,
    plain_key,
};

struct restart_outcome
{
    std::uint64_t arrived = 0;
    std::uint64_t unknown = 0;
    duration last_unknown{0};
};

auto name_of(key_kind kind) -> const char*
{
    switch (kind) {
    case key_kind::ticket:
        return "ticket";
    case key_kind::timed_key:
        return "key with a time (UUID version 7)";
    case key_kind::plain_key:
        return "key without a time";
    }
    return "";
}

/// Restarts an owner at time zero while callers, unaware of it, keep sending new bookings.
auto after_restart(key_kind kind, duration predecessor_lease, duration clock_skew, duration remember_for)
    -> restart_outcome
{
    once_ledger_options options = ledger_options(2);
    options.predecessor_lease = predecessor_lease;
    options.clock_skew = clock_skew;
    options.max_calls = 100'000;
    options.max_bytes = std::size_t{1} << 30U;
    once_ledger ledger(options);
    restart_outcome outcome;
    std::uint32_t number = 0;
    for (duration t = transit_time; t < 1'200s; t += between_bookings) {
        ledger.renew_own_lease(t < predecessor_lease ? instant::min() : at(t + 3s));
        ++number;
        once_call call = by_key("order-" + std::to_string(number));
        if (kind == key_kind::ticket) {
            call = by_ticket(mint(ledger, at(t)));
        }
        else if (kind == key_kind::timed_key) {
            call = by_key(timed_key(t - transit_time, number));
        }
        call.owner.remember_for = remember_for;
        const once_outcome result = ledger.submit(at(t), call);
        ++outcome.arrived;
        if (std::holds_alternative<once_unknown>(result)) {
            ++outcome.unknown;
            outcome.last_unknown = t;
        }
        else {
            static_cast<void>(ledger.sending(at(t), run_serial(result)));
            ledger.answered(at(t), run_serial(result), {201, "application/json", "{}", true});
        }
    }
    return outcome;
}

void print_restart(key_kind kind, duration predecessor_lease, duration clock_skew, duration remember_for)
{
    const restart_outcome outcome = after_restart(kind, predecessor_lease, clock_skew, remember_for);
    const auto seconds = [](duration value) { return std::chrono::duration<double>(value).count(); };
    std::printf("| %s | %.0f | %.0f | %.0f | %llu | %llu | %.1f |\n", name_of(kind),
                seconds(predecessor_lease), seconds(clock_skew), seconds(remember_for),
                static_cast<unsigned long long>(outcome.arrived),
                static_cast<unsigned long long>(outcome.unknown), seconds(outcome.last_unknown));
}

void print_memory(std::size_t body_bytes)
{
    constexpr std::size_t calls = 50'000;
    constexpr double mebibyte = 1'024.0 * 1'024.0;
    const std::size_t before = mallinfo2().uordblks;
    once_ledger_options options = ledger_options(1);
    options.predecessor_lease = 0s;
    options.max_calls = calls;
    options.max_bytes = std::size_t{1} << 30U;
    auto ledger = std::make_unique<once_ledger>(options);
    ledger->renew_own_lease(at(1'000'000s));
    for (std::uint32_t i = 0; i < calls; ++i) {
        const call_serial serial = run_serial(ledger->submit(at(60s), by_key(timed_key(59s, i))));
        static_cast<void>(ledger->sending(at(60s), serial));
        ledger->answered(at(60s), serial, {201, "application/json", std::string(body_bytes, 'x'), true});
    }
    const auto used = static_cast<double>(mallinfo2().uordblks - before);
    const auto counted = static_cast<double>(ledger->bytes());
    const auto remembered = static_cast<double>(ledger->size());
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f |\n", body_bytes, used / remembered, counted / remembered,
                remembered / (used / mebibyte), remembered / (counted / mebibyte));
}

} // namespace

auto main() -> int
{
    std::printf("A home restarts; 10 new bookings a second arrive for 20 minutes.\n\n");
    std::printf(
        "| named by | predecessor's lease (s) | clock skew (s) | remembered for (s) | arrived | answered "
        "unknown | last one after (s) |\n|---|---|---|---|---|---|---|\n");
    print_restart(key_kind::ticket, 10s, 5s, 600s);
    print_restart(key_kind::timed_key, 10s, 5s, 600s);
    print_restart(key_kind::timed_key, 4s, 5s, 600s);
    print_restart(key_kind::timed_key, 4s, 1s, 600s);
    print_restart(key_kind::plain_key, 10s, 5s, 600s);
    print_restart(key_kind::plain_key, 4s, 5s, 120s);
    std::printf("\nMemory of answered calls named by key.\n\n");
    std::printf("| body (bytes) | allocated a call | accounted a call | calls a MiB allocated | calls a MiB "
                "accounted |\n|---|---|---|---|---|\n");
    for (const std::size_t body :
         {std::size_t{0}, std::size_t{256}, std::size_t{1'024}, std::size_t{4'000}}) {
        print_memory(body);
    }
    return 0;
}
