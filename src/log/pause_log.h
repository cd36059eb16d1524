#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill {

/// Logs that a thread which ticks often was kept from running, as by a suspended host.
class pause_log
{
public:
    /// The thread ticks; logs if the last tick is longer ago than `longest_gap`.
    void tick(instant now);

    /// A tick that comes later than this was kept from running.
    static constexpr duration longest_gap = 1s;

private:
    instant last_;
};

} // namespace dragonflymill
