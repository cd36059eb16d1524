#pragma once

#include <algorithm>

namespace dragonflymill {

/// Limits retries to a fraction of the successes, so that a fault which fails every call can't multiply the
/// load.
class retry_budget
{
public:
    /// Each success adds `share` of a retry to the budget, up to `most`; the budget starts full.
    retry_budget(double share, double capacity)
        : share_(share)
        , capacity_(capacity)
        , available_(capacity)
    {
    }

    /// Adds to the budget after a success.
    void succeeded() { available_ = std::min(capacity_, available_ + share_); }
    /// Takes one retry from the budget; returns false if less than one is left.
    [[nodiscard]] auto take() -> bool
    {
        if (available_ < 1.0) {
            return false;
        }
        available_ -= 1.0;
        return true;
    }
    /// Returns the retries in the budget.
    [[nodiscard]] auto available() const -> double { return available_; }

private:
    double share_;
    double capacity_;
    double available_;
};

} // namespace dragonflymill
