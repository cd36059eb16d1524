#pragma once

#include "dragonflymill/once/once_ledger.h"

#include "support/virtual_time.h"

#include <cstdint>
#include <cstdio>
#include <string>

namespace dragonflymill::test {

/// Wall clock time at the start of the virtual clock.
inline constexpr wall_instant wall_start{std::chrono::seconds(1'700'000'000)};

/// Returns an idempotency key as a version 7 UUID with the virtual time `made`; `number` makes keys distinct.
inline auto timed_key(duration made, std::uint32_t number) -> std::string
{
    const wall_instant wall = wall_start + made;
    const auto ms = static_cast<unsigned long long>(wall.time_since_epoch() / std::chrono::milliseconds(1));
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", ms >> 16U, ms & 0xffffU, number);
    return text;
}

/// Returns the options of a ledger of the sidecar incarnation `self`, started at `started`.
inline auto ledger_options(std::uint64_t self, duration started = 0s) -> once_ledger_options
{
    once_ledger_options options;
    options.upstream = upstream_id("booking-1");
    options.self = incarnation(self);
    options.started = at(started);
    options.started_wall = wall_start + started;
    options.ticket_key = "a key of the tests";
    options.pause_threshold = 24h; // the virtual clock of most tests advances in large steps
    return options;
}

/// Returns the owner of all calls in the tests.
inline auto owner() -> call_owner
{
    return {route_id("slots"), client_account_id("lacquer-1")};
}

/// Mints a ticket and returns its text; empty if the ledger is full.
inline auto mint(once_ledger& ledger, instant now) -> std::string
{
    const auto minted = ledger.mint(now, owner());
    const auto* ticket = std::get_if<once_minted>(&minted);
    return ticket == nullptr ? std::string() : ticket->text;
}

inline auto by_ticket(const std::string& ticket, const std::string& body = "body") -> once_call
{
    return {owner(), ticket_name{ticket}, digest_of({body})};
}

inline auto by_key(const std::string& key, const std::string& body = "body") -> once_call
{
    return {owner(), key_name{key, true, std::nullopt}, digest_of({body})};
}

/// Returns the serial of a once_run; 0 for any other outcome.
inline auto run_serial(const once_outcome& outcome) -> call_serial
{
    const auto* run = std::get_if<once_run>(&outcome);
    return run == nullptr ? call_serial() : run->serial;
}

/// Submits a call and starts sending it. Returns false if it must not be sent.
inline auto send(once_ledger& ledger, instant now, const once_call& call) -> bool
{
    const once_outcome outcome = ledger.submit(now, call);
    return std::holds_alternative<once_run>(outcome) && ledger.sending(now, run_serial(outcome));
}

inline auto unknown(unknown_reason why) -> once_outcome
{
    return once_unknown{why};
}

inline auto is_error(const once_outcome& outcome, error_kind kind) -> bool
{
    const auto* failure = std::get_if<error>(&outcome);
    return failure != nullptr && failure->kind() == kind;
}

} // namespace dragonflymill::test
