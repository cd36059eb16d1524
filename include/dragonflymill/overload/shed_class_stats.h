#pragma once

#include "dragonflymill/overload/overload_policy.h"

#include <array>

namespace dragonflymill {

/// Number of classes that shedding tells apart: by priority, by length, and by whether the account is over
/// its share.
inline constexpr std::size_t shed_class_count = work_priority_count * length_class_count * 2;

/// Index of a request's shed class.
[[nodiscard]] auto shed_class_of(work_priority priority, length_class size, bool over_share) -> std::size_t;

/// Work offered of late in each shed class, and how often it ended in its limit.
class shed_class_stats
{
public:
    /// Recent offers and outcomes of a class; offers fade with a half-life of ten seconds.
    struct tally
    {
        double cost = 0.0;    ///< Cost offered of late.
        double count = 0.0;   ///< Requests offered of late.
        double in_time = 1.0; ///< Part of those admitted that ended in their limit.
    };

    /// Notes an offer.
    void offered(instant now, std::size_t shed_class, duration cost);
    /// Notes the end of an admitted request.
    void ended(std::size_t shed_class, bool in_time);
    /// The tally of a class.
    [[nodiscard]] auto of(std::size_t shed_class) const -> const tally& { return tallies_[shed_class]; }
    /// Parts of each class to refuse, so that `excess` of all offered cost is refused: the classes with the
    /// lowest `rank` first, none of them by more than `most`.
    [[nodiscard]] auto parts_to_refuse(const std::array<double, shed_class_count>& rank, double excess,
                                       double most) const -> std::array<double, shed_class_count>;

private:
    std::array<tally, shed_class_count> tallies_{};
    instant faded_at_;
};

} // namespace dragonflymill
