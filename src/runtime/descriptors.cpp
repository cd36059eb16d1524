#include "runtime/descriptors.h"

#include <algorithm>
#include <sys/resource.h>

namespace dragonflymill::runtime {

namespace {

/// Descriptors for the program itself, or half of all where there are few.
constexpr std::size_t own_descriptors = 512;
/// Assumed if the system doesn't tell; the least that POSIX systems allow by default.
constexpr std::size_t fallback_descriptors = 1024;

} // namespace

auto descriptors_for_callers() -> std::size_t
{
    rlimit allowed{};
    const bool known = getrlimit(RLIMIT_NOFILE, &allowed) == 0;
    const std::size_t all = known ? static_cast<std::size_t>(allowed.rlim_cur) : fallback_descriptors;
    return all - std::min(own_descriptors, all / 2);
}

} // namespace dragonflymill::runtime
