#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/overload/fair_shares.h"
#include "dragonflymill/overload/overload_policy.h"
#include "dragonflymill/overload/shed_class_stats.h"

namespace dragonflymill {

/// Baseline: refuses nothing and pauses nothing.
class no_shedding
{
public:
    /// Admits.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses nothing.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Learns nothing.
    void ended(instant now, const offered_work& work, bool in_time);
};

/// Baseline: refuses any request with the same probability, and pauses any overnight work.
class random_shedding
{
public:
    /// Draws with the sequence that belongs to `seed`.
    explicit random_shedding(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Refuses with the probability of the excess.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses overnight work in the order given, as much as the excess.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Learns nothing.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    random_source random_;
};

/// Refuses the lowest priority first, and within one the accounts over their share.
class priority_shedding
{
public:
    /// Draws with the sequence that belongs to `seed`.
    explicit priority_shedding(std::uint64_t seed, fair_share_settings shares = {})
        : random_(seed)
        , shares_(shares)
    {
    }

    /// Weights of the accounts.
    [[nodiscard]] auto shares() -> fair_shares& { return shares_; }
    /// Refuses if the request is in the part of its class to be refused.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses overnight work in the order given, as much as the excess.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Learns nothing.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    random_source random_;
    fair_shares shares_;
    shed_class_stats classes_;
};

/// Settings of contribution shedding.
struct contribution_settings
{
    /// Worth of an answer in time, by priority.
    std::array<double, work_priority_count> worth{16.0, 4.0, 1.0};
    double over_share_worth = 0.25; ///< Factor for accounts over their share.
    double most_refused = 0.9; ///< No class is refused by more than this part: long prompts are not starved.

    friend auto operator==(const contribution_settings&, const contribution_settings&) -> bool = default;
};

/// Refuses first what contributes least for what it consumes: the worth of an answer in time, by how often
/// its class ends in time, over its predicted cost. What runs is paused by the same measure.
class contribution_shedding
{
public:
    /// Draws with the sequence that belongs to `seed`.
    explicit contribution_shedding(std::uint64_t seed, contribution_settings settings = {},
                                   fair_share_settings shares = {})
        : settings_(settings)
        , random_(seed)
        , shares_(shares)
    {
    }

    /// Weights of the accounts.
    [[nodiscard]] auto shares() -> fair_shares& { return shares_; }
    /// Refuses if the request is in the part of its class to be refused.
    [[nodiscard]] auto offer(instant now, const offered_work& work, const load_signal& load) -> admission;
    /// Pauses the overnight work with the most cost to come, as much as the excess.
    [[nodiscard]] auto pause(instant now, const load_signal& load, std::span<const running_work> running)
        -> std::vector<request_id>;
    /// Learns how often a class ends in time.
    void ended(instant now, const offered_work& work, bool in_time);

private:
    [[nodiscard]] auto ranks() const -> std::array<double, shed_class_count>;

    contribution_settings settings_;
    random_source random_;
    fair_shares shares_;
    shed_class_stats classes_;
};

} // namespace dragonflymill
