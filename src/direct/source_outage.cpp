#include "dragonflymill/direct/source_outage.h"

namespace dragonflymill::direct {

void source_outage::lost(instant now)
{
    if (!lost_at_) {
        lost_at_ = now;
        others_read_ = false;
    }
}

void source_outage::regained(instant now)
{
    if (lost_at_) {
        length_ = now - *lost_at_;
        regained_at_ = now;
        lost_at_.reset();
    }
}

void source_outage::peer_reads_source(instant now)
{
    if (lost_at_ && now - *lost_at_ > stale_word) {
        others_read_ = true;
    }
}

auto source_outage::removals_unreliable(instant now) const -> bool
{
    if (lost_at_) {
        return now - *lost_at_ >= shortest && !others_read_;
    }
    return regained_at_ && now - *regained_at_ < shadow && length_ >= shortest && !others_read_;
}

} // namespace dragonflymill::direct
