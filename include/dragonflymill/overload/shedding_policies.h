#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/overload/fair_shares.h"
#include "dragonflymill/overload/overload_policy.h"
#include "dragonflymill/overload/shed_class_stats.h"

namespace dragonflymill {

/// Baseline policy that refuses and pauses nothing.
class no_shedding
{
public:
    /// Admits every request.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses nothing.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Does nothing: this policy doesn't use outcomes.
    void ended(instant now, const offered_work& work, bool in_time);
};

/// Baseline policy that refuses every request with the same probability and pauses any overnight work.
class random_shedding
{
public:
    /// Creates a policy whose random sequence is determined by `seed`.
    explicit random_shedding(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Refuses with the probability of the excess.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses overnight work in the given order until the excess is freed.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Does nothing: this policy doesn't use outcomes.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    random_source random_;
};

/// Refuses the lowest priority first, and within a priority the accounts over their share.
class priority_shedding
{
public:
    /// Creates a policy whose random sequence is determined by `seed`.
    explicit priority_shedding(std::uint64_t seed, fair_share_settings shares = {})
        : random_(seed)
        , shares_(shares)
    {
    }

    /// Returns the shares of the accounts, for setting weights.
    [[nodiscard]] auto shares() -> fair_shares& { return shares_; }
    /// Refuses with the probability that applies to the request's shed class.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses overnight work in the given order until the excess is freed.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Does nothing: this policy doesn't use outcomes.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    random_source random_;
    fair_shares shares_;
    shed_class_stats classes_;
};

/// Settings of `contribution_shedding`.
struct contribution_settings
{
    /// Utility of an answer within its time limit, by priority.
    std::array<double, work_priority_count> utility{16.0, 4.0, 1.0};
    double over_share_factor = 0.25;   ///< Factor on the utility for accounts over their share.
    double max_refused_fraction = 0.9; ///< Upper bound for each class, to avoid starving long prompts.

    friend auto operator==(const contribution_settings&, const contribution_settings&) -> bool = default;
};

/// Refuses first the class with the lowest utility for its cost: the utility of an answer in time, times how
/// often the class finishes in time, divided by its mean predicted cost. Running work is paused by its
/// remaining cost.
class contribution_shedding
{
public:
    /// Creates a policy whose random sequence is determined by `seed`.
    explicit contribution_shedding(std::uint64_t seed, contribution_settings settings = {},
                                   fair_share_settings shares = {})
        : settings_(settings)
        , random_(seed)
        , shares_(shares)
    {
    }

    /// Returns the shares of the accounts, for setting weights.
    [[nodiscard]] auto shares() -> fair_shares& { return shares_; }
    /// Refuses with the probability that applies to the request's shed class.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses the overnight work with the highest remaining cost first, until the excess is freed.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Updates how often a class finishes in time.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    [[nodiscard]] auto ranks() const -> std::array<double, shed_class_count>;

    contribution_settings settings_;
    random_source random_;
    fair_shares shares_;
    shed_class_stats classes_;
};

} // namespace dragonflymill
