#pragma once

#include <cstdint>

namespace dragonflymill {

/// Seeded pseudo-random generator (SplitMix64). Produces the same sequence on every platform, unlike the
/// distributions of the standard library, which differ between implementations.
class random_source
{
public:
    /// Starts the sequence determined by `seed`.
    explicit constexpr random_source(std::uint64_t seed)
        : state_(seed)
    {
    }

    /// Next 64 random bits.
    constexpr auto next() -> std::uint64_t
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

    /// Random number from 0 to `bound` - 1; 0 if `bound` is 0.
    constexpr auto below(std::uint64_t bound) -> std::uint64_t { return bound == 0 ? 0 : next() % bound; }

    /// Random number in [0, 1).
    constexpr auto unit() -> double { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

    /// True with probability `p`.
    constexpr auto chance(double p) -> bool { return unit() < p; }

private:
    std::uint64_t state_;
};

} // namespace dragonflymill
