#pragma once

#include "dragonflymill/core/time.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill {

/// A gateway's share of a rate limit, as a token bucket that may go into debt: the cost of a request can
/// exceed the bucket's capacity, and is certain only at its end.
class rate_share
{
public:
    /// Sets the rate, in units a second, from `now` on; `burst` is the capacity as time at that rate.
    void set_rate(instant now, double rate, duration burst)
    {
        refill(now);
        const bool fresh = rate_ == 0;
        rate_ = rate;
        capacity_ = rate * seconds(burst);
        level_ = fresh ? capacity_ : std::min(level_, capacity_);
    }

    /// Returns whether the bucket is above zero.
    [[nodiscard]] auto is_open(instant now) -> bool
    {
        refill(now);
        return level_ > 0;
    }

    /// Removes an amount; a negative amount is returned to the bucket.
    void take(double amount) { level_ = std::min(level_ - amount, capacity_); }

    /// Returns the time until the bucket is above zero again; zero if it is.
    [[nodiscard]] auto wait() const -> duration
    {
        constexpr double longest_wait = 60;
        if (level_ > 0) {
            return duration::zero();
        }
        const auto wait_seconds = rate_ > 0 ? std::min(longest_wait, -level_ / rate_) : longest_wait;
        return duration(static_cast<duration::rep>(wait_seconds * 1e6)) + 1ms;
    }

private:
    static auto seconds(duration value) -> double { return static_cast<double>(value.count()) / 1e6; }

    void refill(instant now)
    {
        if (now > filled_) {
            level_ = std::min(capacity_, level_ + rate_ * seconds(now - filled_));
            filled_ = now;
        }
    }

    double rate_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    instant filled_{};
};

/// Measures how much of a limit callers request, refused requests included. This is the weight of a gateway's
/// share.
class demand_meter
{
public:
    /// Adds a request that uses `part` of one second of the limit.
    void add(instant now, double part)
    {
        decay(now);
        value_ += part / window_seconds;
        has_unreported_demand_ = true;
    }

    /// Returns the demand as a multiple of the limit, averaged over `window_seconds`.
    [[nodiscard]] auto value(instant now) -> double
    {
        decay(now);
        return value_;
    }

    /// Returns the demand and stores it as the value reported to the account's home.
    [[nodiscard]] auto report(instant now) -> double
    {
        last_reported_ = value(now);
        has_unreported_demand_ = false;
        return last_reported_;
    }
    /// Returns whether anything was requested since the last report.
    [[nodiscard]] auto has_unreported_demand() const -> bool { return has_unreported_demand_; }
    /// Returns whether the demand is within a quarter of the value last reported.
    [[nodiscard]] auto is_near_reported(instant now) -> bool
    {
        constexpr double steady_tolerance = 0.25;
        return std::abs(value(now) - last_reported_) <= steady_tolerance * last_reported_;
    }

private:
    static constexpr double window_seconds = 4;

    void decay(instant now)
    {
        if (now > measured_) {
            const auto elapsed = static_cast<double>((now - measured_).count()) / 1e6;
            value_ *= std::max(0.0, 1 - elapsed / window_seconds);
            measured_ = now;
        }
    }

    double value_ = 0;
    double last_reported_ = 0;
    bool has_unreported_demand_ = false;
    instant measured_{};
};

} // namespace dragonflymill
