#pragma once

#include <criterion/criterion.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>

#include <unistd.h>

namespace dragonflymill::test {

/// Names the environment variable that reruns one seed of a schedule test.
inline constexpr const char* seed_variable = "DRAGONFLYMILL_SEED";

namespace detail {

/// Line that an aborted run prints, written before each seed since a signal handler can't format.
inline char rerun_line[256] = "";

inline void print_rerun_line(int /*signal*/)
{
    std::size_t length = 0;
    while (rerun_line[length] != '\0') {
        ++length;
    }
    if (write(STDERR_FILENO, rerun_line, length) < 0) {
        return;
    }
}

} // namespace detail

/// Runs `run(seed)` for seeds 1 to `count`, or only for the seed in DRAGONFLYMILL_SEED. `run` gives nothing,
/// or what it found broken; then the test fails and the command to rerun that seed is printed, also when an
/// assertion in the code under test ends the program. `program` and `filter` are for that command.
template <typename Run>
void run_schedules(std::uint64_t count, const char* program, const char* filter, Run run)
{
    const char* const only = std::getenv(seed_variable);
    const std::uint64_t first = only == nullptr ? 1 : std::strtoull(only, nullptr, 10);
    const std::uint64_t last = only == nullptr ? count : first;
    std::signal(SIGABRT, detail::print_rerun_line);
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        std::snprintf(detail::rerun_line, sizeof detail::rerun_line,
                      "seed %llu failed; rerun: %s=%llu build/release/%s --filter %s\n",
                      static_cast<unsigned long long>(seed), seed_variable,
                      static_cast<unsigned long long>(seed), program, filter);
        const std::optional<std::string> broken = run(seed);
        cr_assert(!broken, "%s; %s", broken.value_or("").c_str(), detail::rerun_line);
    }
    std::signal(SIGABRT, SIG_DFL);
}

} // namespace dragonflymill::test
