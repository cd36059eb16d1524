#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// Phase of the demo; operator actions separate the later ones.
enum class demo_phase
{
    warm_up,     ///< Medium prompts from many callers; sidecars learn the capacity of their upstreams.
    alone,       ///< Only short requests, one after another.
    mix,         ///< Prompts of all lengths concurrently.
    domain_out,  ///< A failure domain is drained.
    domain_back, ///< The failure domain is back in service.
    stopping,    ///< A gateway has received SIGTERM.
};

/// Number of enumerators of demo_phase.
inline constexpr std::size_t demo_phase_count = 6;

/// Name of a phase in the report.
[[nodiscard]] auto to_string(demo_phase phase) -> const char*;

/// A completion to send.
struct planned_completion
{
    duration at{}; ///< Send time since the start of the mix; zero in the warm-up and the phase `alone`.
    token_count tokens = 0;     ///< Length of the prompt.
    token_count max_tokens = 0; ///< Token limit of the answer.
    std::uint64_t seed = 0;     ///< Seed of the prompt's text.
    int short_template = -1;    ///< Number of the short request in `alone` to compare with; -1 for none.

    friend auto operator==(const planned_completion&, const planned_completion&) -> bool = default;
};

/// A booking, sent twice through different gateways.
struct planned_booking
{
    duration at{};          ///< Send time since the start of the mix.
    duration again_after{}; ///< Delay of the second attempt; independent of the first answer.
    std::uint64_t seed = 0; ///< Seed of the random bits of the idempotency key.

    friend auto operator==(const planned_booking&, const planned_booking&) -> bool = default;
};

/// Size of the demo's load.
struct load_size
{
    int requests = 300;              ///< Number of completions in the mix.
    int bookings = 60;               ///< Number of bookings.
    duration warm_up = 15s;          ///< Duration of the warm-up; zero skips it.
    int warm_up_callers = 96;        ///< Concurrent callers of the warm-up; each sends one request at a time.
    duration length = 24s;           ///< Duration of the mix.
    token_count longest = 1'000'000; ///< Length of the longest prompt.
    std::uint64_t seed = 1;          ///< Seed of all random choices.
};

/// All requests and their times. Depends on nothing but the load_size.
struct load_plan
{
    std::vector<planned_completion> warm_up;     ///< Sent in this order, repeated until the warm-up ends.
    std::vector<planned_completion> alone;       ///< Short requests, sent one after another.
    std::vector<planned_completion> completions; ///< The mix, ordered by time.
    std::vector<planned_booking> bookings;       ///< Ordered by time.

    friend auto operator==(const load_plan&, const load_plan&) -> bool = default;
};

/// Makes the plan. In the mix, 60 % of the prompts are short, 5 % have over 100,000 tokens, and one has
/// `size.longest` tokens.
[[nodiscard]] auto make_plan(const load_size& size) -> load_plan;

/// Random text of `tokens` tokens; the same for the same seed.
[[nodiscard]] auto prompt_text(token_count tokens, std::uint64_t seed) -> std::string;

} // namespace dragonflymill::standins
