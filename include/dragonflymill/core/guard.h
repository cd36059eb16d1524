#pragma once

#ifndef DRAGONFLYMILL_BROKEN_GUARD
#define DRAGONFLYMILL_BROKEN_GUARD none
#endif

namespace dragonflymill {

/// Guards that a build can break on purpose (`cmake -DDRAGONFLYMILL_BROKEN_GUARD=NAME`), to show that the
/// tests of the promise behind them fail without them.
enum class guard
{
    none,           ///< Every guard holds.
    at_most_once,   ///< A ticket runs at most once.
    cold_ramp,      ///< Outstanding work stays under the ramp.
    drain,          ///< Nothing new goes to what is taken out.
    bundle_revert,  ///< The bundle in force never gets older.
    lease_end,      ///< What a lease held is given back when it ends.
    stream_offset,  ///< A caller gets each token once, in order.
    fencing,        ///< No order without the sidecar's own live lease.
    stream_silence, ///< A stream that makes no progress is given up.
    gang_release,   ///< A gang that can't be had whole is given back whole.
};

/// The guard that this build breaks.
inline constexpr guard broken_guard = guard::DRAGONFLYMILL_BROKEN_GUARD;

/// Whether `g` holds in this build; written as `if (guard_holds(guard::drain) && ...)`.
[[nodiscard]] constexpr auto guard_holds(guard g) -> bool
{
    return g != broken_guard;
}

} // namespace dragonflymill
