#pragma once

#include <cstdio>
#include <cstdlib>

namespace dragonflymill::detail {

[[noreturn]] inline void assertion_failed(const char* condition, const char* why, const char* file, int line)
{
    std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", file, line, condition, why);
    std::abort();
}

} // namespace dragonflymill::detail

/// Aborts the process if `condition` is false. Enabled in every build: decision code that continues after a
/// violated invariant could reserve the same capacity twice.
#define DRAGONFLYMILL_ASSERT(condition, why)                                                                 \
    do {                                                                                                     \
        if (!(condition)) {                                                                                  \
            ::dragonflymill::detail::assertion_failed(#condition, why, __FILE__, __LINE__);                  \
        }                                                                                                    \
    } while (false)
