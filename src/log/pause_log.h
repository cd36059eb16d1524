#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill {

/// Detects and logs that a thread was not scheduled for a long time, e.g. because the host was suspended.
class pause_log
{
public:
    /// Called periodically by the thread; logs `process_paused` if the last call is longer ago than
    /// `longest_gap`.
    void tick(instant now);

    /// Maximum time between two ticks that is not regarded as a pause.
    static constexpr duration longest_gap = 1s;

private:
    instant last_;
};

} // namespace dragonflymill
