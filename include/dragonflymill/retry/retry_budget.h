#pragma once

#include <algorithm>

namespace dragonflymill {

/// Retries allowed as a share of successes, so that a fault which fails every call can't multiply the load.
class retry_budget
{
public:
    /// Each success allows `share` of a retry; at most `most` are saved up, and so many are there at the
    /// start.
    retry_budget(double share, double most)
        : share_(share)
        , most_(most)
        , saved_(most)
    {
    }

    /// Notes a success.
    void succeeded() { saved_ = std::min(most_, saved_ + share_); }
    /// Takes one retry; false if none is left.
    [[nodiscard]] auto take() -> bool
    {
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }
    /// Retries saved up.
    [[nodiscard]] auto saved() const -> double { return saved_; }

private:
    double share_;
    double most_;
    double saved_;
};

} // namespace dragonflymill
