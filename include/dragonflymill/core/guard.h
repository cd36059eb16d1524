#pragma once

#ifndef DRAGONFLYMILL_BROKEN_GUARD
#define DRAGONFLYMILL_BROKEN_GUARD none
#endif

namespace dragonflymill {

/// Safety checks that a test build can disable (`cmake -DDRAGONFLYMILL_BROKEN_GUARD=NAME`) to verify that the
/// tests of the corresponding guarantee fail without them.
enum class guard
{
    none,           ///< No guard is disabled.
    at_most_once,   ///< A ticket is executed at most once.
    cold_ramp,      ///< In-flight work stays within the cold-start ramp.
    drain,          ///< Draining upstreams and domains receive no new work.
    bundle_revert,  ///< The version of the bundle in force never decreases.
    lease_end,      ///< Resources held by a lease are released when it ends.
    stream_offset,  ///< A client receives each token once, in order.
    fencing,        ///< A sidecar sends orders only while it holds its own lease.
    stream_silence, ///< A stream without progress is aborted.
    gang_release,   ///< A gang that can't be reserved completely is released completely.
};

/// The guard that is disabled in this build.
inline constexpr guard broken_guard = guard::DRAGONFLYMILL_BROKEN_GUARD;

/// Whether `g` is enabled in this build. Usage: `if (guard_holds(guard::drain) && ...)`.
[[nodiscard]] constexpr auto guard_holds(guard g) -> bool
{
    return g != broken_guard;
}

} // namespace dragonflymill
