#pragma once

#include "rig_traffic.h"

#include <vector>

namespace dragonflymill::rig {

/// The steady phase: the middle three fifths of the traffic, without start-up and run-out. Measures how busy
/// the engines are in it.
class steady_part
{
public:
    /// Determines the phase from `requests`, which are in order of arrival.
    explicit steady_part(const std::vector<rig_request>& requests)
        : first_(requests.front().arrival)
        , all_(requests.back().arrival - requests.front().arrival)
    {
    }

    /// Whether `at` lies in the steady phase.
    [[nodiscard]] auto covers(instant at) const -> bool
    {
        const duration part = at - first_;
        return part >= all_ / 5 && part < all_ / 5 * 4;
    }

    /// Updates the busy fraction from the time that the engines have worked so far.
    void note(instant now, const std::vector<engine>& engines)
    {
        if (!covers(now)) {
            return;
        }
        double sum = 0.0;
        for (const auto& each : engines) {
            sum += static_cast<double>(each.busy().count());
        }
        if (from_ == instant{}) {
            from_ = now;
            before_ = sum;
        }
        if (now > from_) {
            const auto time = static_cast<double>((now - from_).count());
            busy_ = (sum - before_) / time / static_cast<double>(engines.size());
        }
    }

    /// Fraction of the engines' time spent in steps that prefill.
    [[nodiscard]] auto busy() const -> double { return busy_; }

private:
    instant first_;
    duration all_;
    instant from_;
    double before_ = 0.0;
    double busy_ = 0.0;
};

} // namespace dragonflymill::rig
