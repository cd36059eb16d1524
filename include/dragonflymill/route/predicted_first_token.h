#pragma once

#include "dragonflymill/route/routing_policy.h"

#include <vector>

namespace dragonflymill {

/// Weights of the policy `predicted_first_token`.
struct predicted_first_token_settings
{
    failure_domain_id failure_domain; ///< The gateway's own.
    region_id region;                 ///< The gateway's own.
    duration same_domain{200};        ///< Round trip within the failure domain.
    duration same_region{1'000};      ///< Round trip to another failure domain of the region.
    duration other_region{40'000};    ///< Round trip to another region.
    double harm_weight = 0.3;         ///< Weight of the time that the prefill costs each running request.
    double decode_weight = 0.1;       ///< Weight of the time that others add to the own decode.
    token_count typical_output = 256; ///< Answers are taken to be no longer than this, whatever they may be.
    double reserved_weight = 12.0;    ///< A longer prompt goes to an upstream reserved for short ones if that
                                      ///< saves this many times its prefill.
    std::size_t home_blocks = 4;      ///< Blocks of a prompt's beginning that its home is worked out from.
    double home_credit = 0.5;         ///< Part of these blocks that the home is taken to have cached.
    double home_load_bound = 1.25;    ///< A home with more than this times the mean load gets no credit.
    double tie = 0.05;                ///< Costs closer than this part count as equal.
    double cold_factor = 3.0;         ///< A cold upstream is taken to be this much slower.
    duration unknown_penalty{20'000}; ///< Cost of knowing nothing of, or nothing new of, an upstream.
    duration load_stale{2'000'000};   ///< A load word older than this is nothing new.

    friend auto operator==(const predicted_first_token_settings&, const predicted_first_token_settings&)
        -> bool = default;
};

/// Chooses the upstream with the least predicted cost: uncached prefill, queue, decode and distance, and the
/// harm done to others there.
class predicted_first_token
{
public:
    /// Sets the weights.
    explicit predicted_first_token(predicted_first_token_settings settings = {});

    /// Chooses the candidate with the least cost. Among costs that are nearly equal a hash of the request
    /// decides, so that many gateways with the same old load words don't all run to the same upstream.
    [[nodiscard]] auto choose(instant now, const route_request& request, const upstream_table& table,
                              const prefix_map& prefixes) -> route_decision;

private:
    struct costed
    {
        const upstream_record* record = nullptr;
        token_count cached = 0;
        double cost = 0.0;
    };

    void cost_all(instant now, const route_request& request);
    [[nodiscard]] auto cost_of(instant now, const route_request& request, const upstream_record& record,
                               token_count cached) const -> double;
    [[nodiscard]] auto slower_decode(const route_request& request, const upstream_record& record) const
        -> double;
    [[nodiscard]] auto distance(const upstream_record& record) const -> duration;
    [[nodiscard]] auto cached_on(const upstream_record& record) const -> token_count;
    [[nodiscard]] auto home_of(const route_request& request) const -> const upstream_record*;
    [[nodiscard]] auto home_has_room(const upstream_record& home, const route_request& request) const -> bool;
    [[nodiscard]] auto pick(const route_request& request) const -> const costed&;

    predicted_first_token_settings settings_;
    candidate_list list_;               // scratch, kept for its memory
    std::vector<prefix_match> matches_; // scratch
    std::vector<costed> costs_;         // scratch
};

} // namespace dragonflymill
