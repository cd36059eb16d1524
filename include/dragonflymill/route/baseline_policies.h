#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/route/routing_policy.h"

#include <cstdint>

namespace dragonflymill {

/// Baseline policy: takes the candidates round-robin.
class round_robin
{
public:
    /// Chooses the candidate that follows the one of the previous call.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    candidate_list list_;
    std::uint64_t turn_ = 0;
};

/// Baseline policy: the candidate with the fewest requests of this gateway in flight.
class least_outstanding
{
public:
    /// Chooses the candidate with the fewest own requests in flight; ties are broken round-robin.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    candidate_list list_;
    std::uint64_t turn_ = 0;
};

/// Baseline policy: the less loaded of two candidates drawn at random.
class power_of_two
{
public:
    /// `seed` initialises the random sequence.
    explicit power_of_two(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Compares queued prefill, then running requests, both as of the last load report corrected by own work.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    random_source random_;
    candidate_list list_;
};

} // namespace dragonflymill
