#pragma once

#include "dragonflymill/admission/cold_start_ramp.h"
#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>

namespace dragonflymill {

/// Settings of a load_step_detector.
struct load_step_options
{
    double multiple = 3.0;       ///< A queue beyond this multiple of its mean length is a step.
    work_cost min_queue = 2'048; ///< Shorter queues are never a step.
    duration max_lag = 2s;       ///< Maximum age of a report; older ones are ignored.
    double own_share = 0.5;      ///< A queue below this share of the own work is normal.
    double own_growth = 1.2;     ///< Growth of the own work beyond this factor explains a longer queue.
};

/// Detects from load reports that an upstream has turned cold: its queue grows by a step while the sidecar
/// sent it no more work than before. Reports lag, so the peak of the own work over the lag is compared.
class load_step_detector
{
public:
    /// Creates a detector without reports.
    explicit load_step_detector(load_step_options options);

    /// Records that the sidecar's outstanding work changed to `outstanding`.
    void set_outstanding(instant now, work_cost outstanding);
    /// Adds a report of `queued` work that is `age` old. Returns true if it is a cold sign.
    [[nodiscard]] auto report(instant now, work_cost queued, duration age) -> bool;
    /// Drops the reports, after a reset of the ramp or a restart of the upstream.
    void reset();

private:
    static constexpr std::size_t slot_count = 16;

    [[nodiscard]] auto slot_number(instant now) const -> std::int64_t;
    [[nodiscard]] auto own_peak(std::int64_t from, std::int64_t to) const -> work_cost;
    void advance(instant now);

    load_step_options options_;
    duration slot_length_;
    std::array<work_cost, slot_count> peaks_{};
    std::int64_t newest_slot_ = 0;
    work_cost outstanding_ = 0;
    bool has_reports_ = false;
    double mean_queue_ = 0;
};

} // namespace dragonflymill
