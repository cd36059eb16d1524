#pragma once

#include <criterion/criterion.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

namespace dragonflymill::test {

/// Environment variable that restricts a schedule test to one seed.
inline constexpr const char* seed_variable = "DRAGONFLYMILL_SEED";

namespace detail {

/// Message that an aborted run prints. Formatted before each seed, since a signal handler must not format
/// text.
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

/// Runs `run(seed)` for the regression seeds in `known` and for seeds 1 to `count`, or only for the seed in
/// DRAGONFLYMILL_SEED. `run` returns nothing, or a description of the violation, which fails the test and
/// prints the command that reruns the seed; the command is also printed when an assertion in the code under
/// test aborts the program. `program` and `filter` are parts of that command.
template <typename Run>
void run_schedules(std::uint64_t count, const char* program, const char* filter, Run run,
                   std::initializer_list<std::uint64_t> known = {})
{
    std::vector<std::uint64_t> seeds(known);
    if (const char* const only = std::getenv(seed_variable)) {
        seeds = {std::strtoull(only, nullptr, 10)};
        count = 0;
    }
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        seeds.push_back(seed);
    }
    std::signal(SIGABRT, detail::print_rerun_line);
    for (const std::uint64_t seed : seeds) {
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
