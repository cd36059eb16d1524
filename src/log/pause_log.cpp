#include "log/pause_log.h"

#include "log/logger.h"

#include <utility>

namespace dragonflymill {

void pause_log::tick(instant now)
{
    const auto before = std::exchange(last_, now);
    if (before != instant{} && now - before > longest_gap) {
        log_event(event::process_paused, field("paused_us", now - before));
    }
}

} // namespace dragonflymill
