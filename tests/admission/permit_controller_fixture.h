#pragma once

#include "dragonflymill/admission/permit_controller.h"

#include "support/virtual_time.h"

#include <optional>
#include <string>

namespace dragonflymill::test {

/// Returns options with a floor of 1,000, a ceiling of 10,000 and 30 ms to the first token of 1,000 tokens.
inline auto gate_options() -> permit_controller_options
{
    permit_controller_options options;
    options.ramp.floor = 1'000;
    options.ramp.ceiling = 10'000;
    options.first_token.expected = first_token_line{10ms, 20.0};
    return options;
}

inline auto ask_of(const std::string& gateway, work_cost cost,
                   length_class size_class = length_class::interactive) -> permit_request
{
    return {process_id(gateway), size_class, cost, cost};
}

/// Requests a permit and returns its lease if it is granted.
inline auto granted(permit_controller& gate, instant now, const permit_request& ask)
    -> std::optional<lease_id>
{
    const auto answer = gate.ask(now, ask);
    const auto* held = std::get_if<permit>(&answer);
    return held == nullptr ? std::nullopt : std::optional(held->lease);
}

/// Requests a permit and returns the refusal if it is refused.
inline auto refused(permit_controller& gate, instant now, const permit_request& ask) -> std::optional<refusal>
{
    const auto answer = gate.ask(now, ask);
    const auto* rejected = std::get_if<refusal>(&answer);
    return rejected == nullptr ? std::nullopt : std::optional(*rejected);
}

/// Raises the allowance to the ceiling by fast successes at full load; returns the time when it is reached.
inline auto warm_up(permit_controller& gate, instant now) -> instant
{
    constexpr duration quick = 20ms;
    while (!gate.ramp().warm()) {
        const work_cost all = gate.load().allowed - gate.load().allowed / 10;
        const auto lease = granted(gate, now, ask_of("warmer", all));
        if (!lease || !gate.begin(now, *lease)) {
            return now;
        }
        now += quick;
        gate.first_token(now, *lease);
        gate.done(now, *lease, work_outcome::success);
        now += gate.ramp().options().window;
    }
    return now;
}

} // namespace dragonflymill::test
