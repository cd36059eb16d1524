#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/route/routing_policy.h"

#include <cstdint>

namespace dragonflymill {

/// Baseline: each candidate in turn.
class round_robin
{
public:
    /// Chooses the next candidate.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    candidate_list list_;
    std::uint64_t turn_ = 0;
};

/// Baseline: the candidate with the fewest own requests in flight.
class least_outstanding
{
public:
    /// Chooses the candidate with the fewest own requests; among equals the next in turn.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    candidate_list list_;
    std::uint64_t turn_ = 0;
};

/// Baseline: the less loaded of two candidates drawn at random.
class power_of_two
{
public:
    /// Draws with the sequence that belongs to `seed`.
    explicit power_of_two(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Chooses by queued prefill, the load word corrected by own work.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    random_source random_;
    candidate_list list_;
};

} // namespace dragonflymill
