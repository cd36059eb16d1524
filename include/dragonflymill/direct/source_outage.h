#pragma once

#include "dragonflymill/core/time.h"

#include <optional>

namespace dragonflymill::direct {

/// Tells an outage of the source of records from a loss of this process's own way to it.
///
/// Upstreams' entries lapse while the source is away from everybody, and are back soon after its return:
/// removals seen right after it may be those of living upstreams. After a reset connection, or where the
/// source refuses this host alone, removals are real: held back, they would let work reach upstreams that are
/// leaving.
class source_outage
{
public:
    /// The source can't be read.
    void lost(instant now);
    /// It can be read again.
    void regained(instant now);
    /// Another gateway says that it reads the source.
    void peer_reads_source(instant now);
    /// Whether a removal that is seen now may be a lapse of a living upstream.
    [[nodiscard]] auto removals_unreliable(instant now) const -> bool;
    /// Whether the source can't be read now.
    [[nodiscard]] auto is_lost() const -> bool { return lost_at_.has_value(); }

    /// A shorter loss lets no entry lapse: one is removed after several heartbeats of over half a second.
    static constexpr duration shortest = 2s;
    /// Removals are in doubt for so long after the return; the first reading after it tells of all lapses.
    static constexpr duration shadow = 1s;
    /// Others go on saying that they read the source for so long after its loss.
    static constexpr duration stale_word = 3200ms;

private:
    std::optional<instant> lost_at_;
    std::optional<instant> regained_at_;
    duration length_{};
    bool others_read_ = false;
};

} // namespace dragonflymill::direct
