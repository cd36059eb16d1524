#pragma once

#include "dragonflymill/overload/overload_policy.h"

#include <array>

namespace dragonflymill {

/// Number of shed classes: priority times length class times whether the account is over its share.
inline constexpr std::size_t shed_class_count = work_priority_count * length_class_count * 2;

/// Returns the index of a request's shed class.
[[nodiscard]] auto shed_class_of(work_priority priority, length_class size, bool over_share) -> std::size_t;

/// Recent offered work of each shed class, and how often it finished within its time limit.
class shed_class_stats
{
public:
    /// Recent offers and outcomes of a class; offers decay with a half-life of ten seconds.
    struct tally
    {
        double cost = 0.0;    ///< Recent offered cost.
        double count = 0.0;   ///< Recent offered requests.
        double in_time = 1.0; ///< Fraction of admitted requests that finished within their time limit.
    };

    /// Notes an offered request.
    void offered(instant now, std::size_t shed_class, duration cost);
    /// Notes the end of an admitted request.
    void ended(std::size_t shed_class, bool in_time);
    /// Returns the tally of a class.
    [[nodiscard]] auto of(std::size_t shed_class) const -> const tally& { return tallies_[shed_class]; }
    /// Returns the fraction of each class to refuse so that `excess` of all offered cost is refused. Classes
    /// with the lowest `rank` come first, and none is refused by more than `most`.
    [[nodiscard]] auto refusal_fractions(const std::array<double, shed_class_count>& rank, double excess,
                                         double most) const -> std::array<double, shed_class_count>;

private:
    std::array<tally, shed_class_count> tallies_{};
    instant decayed_at_;
};

} // namespace dragonflymill
