#pragma once

#include "dragonflymill/core/time.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill {

/// A gateway's part of a rate limit, as a token bucket that may go into debt: what a request costs can be
/// more than the bucket ever holds, and is known for certain only at its end.
class rate_share
{
public:
    /// Takes effect from `now` on: `rate` a second, of which `burst` may be saved up.
    void change(instant now, double rate, duration burst)
    {
        refill(now);
        const bool fresh = rate_ == 0;
        rate_ = rate;
        capacity_ = rate * seconds(burst);
        level_ = fresh ? capacity_ : std::min(level_, capacity_);
    }

    /// Whether something may be taken now.
    [[nodiscard]] auto open(instant now) -> bool
    {
        refill(now);
        return level_ > 0;
    }

    /// Takes (or, negative, gives back) an amount.
    void take(double amount) { level_ = std::min(level_ - amount, capacity_); }

    /// Time until it is open again; zero if it is open.
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

/// Measures how much of a limit callers ask for, refused requests included: the weight of a gateway's share.
class demand_meter
{
public:
    /// Something was asked for that takes `part` of a second of the limit.
    void add(instant now, double part)
    {
        decay(now);
        value_ += part / window_seconds;
        since_told_ = true;
    }

    /// Demand as a multiple of the limit, averaged over some seconds.
    [[nodiscard]] auto value(instant now) -> double
    {
        decay(now);
        return value_;
    }

    /// The value, noted as what the account's home was told.
    [[nodiscard]] auto tell(instant now) -> double
    {
        told_ = value(now);
        since_told_ = false;
        return told_;
    }
    /// Whether anything was asked for since the home was told.
    [[nodiscard]] auto since_told() const -> bool { return since_told_; }
    /// Whether it is about what the home was told.
    [[nodiscard]] auto steady(instant now) -> bool
    {
        constexpr double steady_part = 0.25;
        return std::abs(value(now) - told_) <= steady_part * told_;
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
    double told_ = 0;
    bool since_told_ = false;
    instant measured_{};
};

} // namespace dragonflymill
