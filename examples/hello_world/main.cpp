// Embeds decision parts of dragonflymill without any daemon: no thread, clock or socket. Time is whatever the
// program says it is, so the same run gives the same lines every time.

#include "dragonflymill/admission/permit_controller.h"
#include "dragonflymill/once/once_ledger.h"
#include "dragonflymill/stream/stream_joiner.h"
#include "dragonflymill/time/timer_service.h"

#include <iostream>

using namespace dragonflymill;

namespace {

constexpr instant start{};

/// A cold engine gets a little work; more is refused, truthfully, with a time to come back.
void show_admission()
{
    permit_controller_options options;
    options.ramp.floor = 8'000;
    options.ramp.ceiling = 64'000;
    permit_controller gate(start, options);
    const permit_request ask{process_id("gateway-1"), length_class::interactive, 3'000, 3'000};
    for (int i = 1; i <= 4; ++i) {
        const permit_result answer = gate.ask(start, ask);
        if (const auto* refused = std::get_if<refusal>(&answer)) {
            std::cout << "ask " << i << ": refused, " << to_string(refused->code) << ", ran "
                      << to_string(refused->ran) << '\n';
            continue;
        }
        std::cout << "ask " << i << ": granted, " << gate.load().outstanding << " of " << gate.load().allowed
                  << " tokens in use\n";
    }
}

/// What becomes of a try, in words.
auto outcome_text(const once_outcome& outcome) -> std::string
{
    if (std::holds_alternative<once_run>(outcome)) {
        return "run it";
    }
    if (const auto* replay = std::get_if<once_replay>(&outcome)) {
        return "already run, the answer was: " + replay->answer.body;
    }
    return "not run now";
}

/// A booking is tried twice, as after a lost answer; it runs once and the second try gets the first answer.
void show_at_most_once()
{
    once_ledger_options options;
    options.upstream = upstream_id("booking-1");
    options.self = incarnation(1);
    options.started = start;
    options.ticket_key = "a key from the settings";
    once_ledger ledger(options);
    const call_owner owner{route_id("booking"), client_account_id("hearth")};
    const auto minted = ledger.mint(start, owner);
    const auto* ticket = std::get_if<once_minted>(&minted);
    if (ticket == nullptr) {
        std::cout << "the ledger is full\n";
        return;
    }
    const once_call call{owner, ticket_name{ticket->text},
                         digest_of({"POST", "/bookings", "two loads of birch"})};
    const once_outcome first = ledger.submit(start, call);
    std::cout << "first try: " << outcome_text(first) << '\n';
    const auto* run = std::get_if<once_run>(&first);
    if (run != nullptr && ledger.sending(start, run->serial)) {
        ledger.answered(start + 40ms, run->serial, {201, "text/plain", "booked for Saturday"});
    }
    std::cout << "second try: " << outcome_text(ledger.submit(start + 2s, call)) << '\n';
}

/// Tokens come late, twice and out of order; the caller gets each once, in order.
void show_stream()
{
    const request_id request("r-1");
    stream_joiner joiner(request, attempt_number(1));
    const std::vector<stream_chunk> arriving{
        {request, attempt_number(1), 0, {"Birch "}},
        {request, attempt_number(1), 2, {"well."}},
        {request, attempt_number(1), 0, {"Birch "}},
        {request, attempt_number(1), 1, {"burns "}},
    };
    std::cout << "answer: ";
    for (const stream_chunk& chunk : arriving) {
        for (const stream_output& output : joiner.step(start, chunk)) {
            if (const auto* delivered = std::get_if<deliver_tokens>(&output)) {
                for (const std::string& token : delivered->tokens) {
                    std::cout << token;
                }
            }
        }
    }
    std::cout << '\n';
}

/// A process that was paused sees what it missed in the order in which it was due.
void show_timers()
{
    timer_service<std::string> timers(16);
    static_cast<void>(timers.subscribe(start + 3s, "request limit"));
    static_cast<void>(timers.subscribe(start + 1s, "heartbeat"));
    for (const auto& timer : timers.advance(start + std::chrono::hours(1))) {
        std::cout << "due: " << timer.key << '\n';
    }
}

} // namespace

auto main() -> int
{
    show_admission();
    show_at_most_once();
    show_stream();
    show_timers();
    return 0;
}
