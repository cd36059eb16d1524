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

// Gateways are killed, paused, stopped and cut off while upstreams fail, leave and are replaced, the store
// falls silent and configurations change, in series and overlapping. Throughout, no booking may run twice,
// none may run that was said not to have run, no stream may have a hole, and in the end all must be served
// again.
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
    std::fprintf(stderr, "seed %d: %d whole answers, %zu faults\n", static_cast<int>(seed),
                 world.kept().answers(), world.story().size());
    cr_assert(world.kept().breaches().empty(), "%zu promises broken", world.kept().breaches().size());
    cr_assert(world.kept().answers() > 0);
}
