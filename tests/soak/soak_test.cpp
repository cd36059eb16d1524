#include "soak/soak_world.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace dragonflymill::soak;

namespace {

auto number(const char* name, int fallback) -> int
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): no other thread changes it
    return text == nullptr ? fallback : std::atoi(text); // NOLINT(cert-err34-c): written by tools/soak
}

} // namespace

// Guards the delivery guarantees under sequential and overlapping faults: gateways are killed, paused,
// stopped and partitioned from the store, upstreams fail, drain and are replaced, the store stops answering,
// upstreams ask for pauses, state their drain, run slower and restart in place, and the configuration
// changes; engines crash under calls with one part of a prompt, and any upstream under single requests that
// their callers repeat; upstreams send malformed, foreign and endless bytes in and behind their responses,
// and responses that aren't proven to be a stream. No booking may be executed twice, or after it was reported
// as not executed; no stream may have a gap; and all calls must be served again once the faults end.
Test(soak, promises_hold_under_faults, .timeout = 280)
{
    const auto seed = static_cast<std::uint64_t>(number("SOAK_SEED", 1));
    const char* program = std::getenv("SOAK_PROGRAM"); // NOLINT(concurrency-mt-unsafe): as above
    soak_world world(seed, program == nullptr ? DRAGONFLYMILL_BINARY_DIR "/dragonflymill" : program);
    world.run(std::chrono::seconds(number("SOAK_SECONDS", 10)));
    for (const std::string& breach : world.kept().breaches()) {
        std::fprintf(stderr, "seed %d: %s\n", static_cast<int>(seed), breach.c_str());
    }
    if (!world.kept().breaches().empty()) {
        for (const std::string& line : world.story()) {
            std::fprintf(stderr, "  %s\n", line.c_str());
        }
    }
    std::fprintf(
        stderr,
        "seed %d: %d complete responses, %zu faults, %d statements, %d crashes, %d under single requests, "
        "%d malformed responses\n",
        static_cast<int>(seed), world.kept().answers(), world.story().size(), world.statements(),
        world.crashes(), world.fatal_ends(), world.malformed_responses());
    cr_assert(world.kept().breaches().empty(), "%zu guarantees violated", world.kept().breaches().size());
    cr_assert(world.kept().answers() > 0 && world.malformed_responses() > 0);
}
