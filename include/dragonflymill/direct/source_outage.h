#pragma once

#include "dragonflymill/core/time.h"

#include <optional>

namespace dragonflymill::direct {

/// Distinguishes an outage of the record source from a loss of this process's own connection to it.
///
/// During an outage for all processes, the entries of running upstreams expire, and they reappear soon after
/// it: removals seen right after an outage may be those of running upstreams. After a connection reset, or
/// where the source refuses only this host, removals are real; delaying them would send work to draining
/// upstreams.
class source_outage
{
public:
    /// Records that the source cannot be read.
    void lost(instant now);
    /// Records that the source can be read again.
    void regained(instant now);
    /// Records that another gateway reports reading the source.
    void peer_reads_source(instant now);
    /// Returns whether a removal seen now may be the expired entry of a running upstream.
    [[nodiscard]] auto removals_unreliable(instant now) const -> bool;
    /// Returns whether the source cannot be read now.
    [[nodiscard]] auto is_lost() const -> bool { return lost_at_.has_value(); }

    /// Minimum outage in which entries can expire: an entry is removed after several missed heartbeats of
    /// more than half a second each.
    static constexpr duration min_outage = 2s;
    /// Time after an outage in which removals are unreliable; the first read after it returns all expired
    /// entries.
    static constexpr duration recovery_window = 1s;
    /// Time after the loss of the source in which peers may still report reading it.
    static constexpr duration peer_report_staleness = 3200ms;

private:
    std::optional<instant> lost_at_;
    std::optional<instant> regained_at_;
    duration outage_length_{};
    bool peer_read_source_ = false;
};

} // namespace dragonflymill::direct
