#pragma once

#include "dragonflymill/admission/cold_start_ramp.h"
#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>

namespace dragonflymill {

/// Settings of a load_step_detector.
struct load_step_options
{
    double multiple = 3.0;      ///< A queue this many times its usual length is a step.
    work_cost smallest = 2'048; ///< Queues shorter than this are never a step.
    duration longest_lag = 2s;  ///< Reports lag by no more than this; older ones are ignored.
    double own_share = 0.5;     ///< A queue of less than this share of the own work is an ordinary one.
    double own_growth = 1.2;    ///< Own work that grew by more than this explains a longer queue.
};

/// Tells from load reports that an upstream has turned cold: its queue steps up while the sidecar gave it no
/// more work than before. Reports lag, so the own work compared is the highest over the lag.
class load_step_detector
{
public:
    /// Starts with no reports seen.
    explicit load_step_detector(load_step_options options);

    /// The own outstanding work changed to `outstanding`.
    void own_work(instant now, work_cost outstanding);
    /// A report of `queued` work of `age`; true when it is a cold sign.
    [[nodiscard]] auto report(instant now, work_cost queued, duration age) -> bool;
    /// Forgets the reports, after a fall or a restart of the upstream.
    void forget();

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
    bool seen_ = false;
    double usual_ = 0;
};

} // namespace dragonflymill
