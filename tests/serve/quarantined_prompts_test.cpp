#include "serve/gateway_core_fixture.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

/// Returns a request whose prompt begins with the given block, followed by one of its own.
auto asked_with(std::uint64_t number, block_hash first_block) -> gateway_input::completion_arrived
{
    gateway_input::completion_arrived made = asked(number);
    made.blocks = {first_block, 1000 + 2 * number, 2000 + 2 * number};
    return made;
}

/// Passes in a request whose engines are lost some time after they have its prompt; returns how many there
/// were.
auto lose_engines(gateway_core& core, const gateway_input::completion_arrived& asked, duration onset,
                  instant& now) -> int
{
    int engines = 0;
    auto actions = core.step(now, asked);
    while (const auto* opened = find<gateway_output::open_attempt>(actions)) {
        const attempt_key key = opened->key;
        feed(core, now, gateway_input::attempt_granted{key});
        now += onset;
        ++engines;
        actions = core.step(now, lost(key));
    }
    return engines;
}

} // namespace

// Guards against a prompt that crashes engine after engine behind sidecars.
Test(quarantined_prompts, are_refused_after_some_engines_were_lost)
{
    gateway_core core{start, options()};
    adopt(core, small_bundle());
    constexpr block_hash bad = 70;
    instant now = start;
    int engines = 0;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        engines += lose_engines(core, asked_with(number, bad), 2s, now);
        now += 10ms;
    }
    cr_assert(engines >= 3 && engines <= 5, "%d engines", engines);
    const auto refused = core.step(now, asked_with(20, bad));
    const auto* answer = find<gateway_output::refuse>(refused);
    cr_assert(answer != nullptr && answer->why.code == refusal_code::quarantined);
    cr_assert(answer->why.ran == ran_state::no && answer->why.retry_after > 9min);
    const auto other = core.step(now, asked_with(21, 90));
    const auto* sound = find<gateway_output::refuse>(other);
    cr_assert(sound == nullptr || sound->why.code != refusal_code::quarantined);
}

// Guards against one prompt, repeated by its caller, that takes engine after engine behind sidecars, and
// against sound prompts that share its first block and are refused with it.
Test(quarantined_prompts, one_repeated_prompt_is_refused_and_others_are_not)
{
    gateway_core core{start, options()};
    adopt(core, small_bundle());
    constexpr block_hash shared = 70;
    instant now = start;
    int engines = 0;
    for (std::uint64_t number = 1; number <= 6; ++number) {
        auto repeated = asked_with(number, shared);
        repeated.blocks = {shared, 1001};
        engines += lose_engines(core, repeated, 20ms, now);
        now += 10ms;
    }
    cr_assert(engines == 3, "%d engines", engines);
    const auto other = core.step(now, asked_with(21, shared));
    const auto* sound = find<gateway_output::refuse>(other);
    cr_assert(sound == nullptr || sound->why.code != refusal_code::quarantined);
}
