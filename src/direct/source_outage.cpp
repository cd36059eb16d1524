#include "dragonflymill/direct/source_outage.h"

namespace dragonflymill::direct {

void source_outage::lost(instant now)
{
    if (!lost_at_) {
        lost_at_ = now;
        peer_read_source_ = false;
    }
}

void source_outage::regained(instant now)
{
    if (lost_at_) {
        outage_length_ = now - *lost_at_;
        regained_at_ = now;
        lost_at_.reset();
    }
}

void source_outage::peer_reads_source(instant now)
{
    if (lost_at_ && now - *lost_at_ > peer_report_staleness) {
        peer_read_source_ = true;
    }
}

auto source_outage::removals_unreliable(instant now) const -> bool
{
    if (lost_at_) {
        return now - *lost_at_ >= min_outage && !peer_read_source_;
    }
    return regained_at_ && now - *regained_at_ < recovery_window && outage_length_ >= min_outage &&
           !peer_read_source_;
}

} // namespace dragonflymill::direct
