#pragma once

#include "dragonflymill/route/routing_policy.h"

#include <vector>

namespace dragonflymill {

/// Weights of the `predicted_first_token` policy.
struct predicted_first_token_settings
{
    failure_domain_id failure_domain; ///< Failure domain of this gateway.
    region_id region;                 ///< Region of this gateway.
    duration same_domain{200};        ///< Round trip within the failure domain, in microseconds.
    duration same_region{1'000};      ///< Round trip to another failure domain of the region.
    duration other_region{40'000};    ///< Round trip to another region.
    double harm_weight = 0.3;   ///< Weight of the delay that the prefill causes to each running request.
    double decode_weight = 0.1; ///< Weight of the delay that other requests add to this request's decode.
    token_count typical_output = 256; ///< Upper bound on the output length that the decode cost assumes.
    double reserved_weight = 12.0; ///< Cost, in multiples of its own prefill time, of sending a longer prompt
                                   ///< to an upstream reserved for short ones.
    std::size_t home_blocks = 4; ///< Leading prompt blocks whose hash selects the preferred upstream (home).
    double home_credit = 0.5;    ///< Fraction of these blocks that the home is assumed to have cached.
    double home_load_bound = 1.25;    ///< Above this multiple of the mean load the home gets no credit.
    double tie = 0.05;                ///< Relative difference below which costs count as equal.
    double cold_factor = 3.0;         ///< Factor on the predicted time to first token of a cold upstream.
    duration unknown_penalty{20'000}; ///< Cost added when an upstream has no load report or a stale one.
    duration load_stale{2'000'000};   ///< Age above which a load report is stale.

    friend auto operator==(const predicted_first_token_settings&, const predicted_first_token_settings&)
        -> bool = default;
};

/// Chooses the upstream with the lowest predicted cost: the sum of uncached prefill, queueing, decode,
/// network distance and the delay caused to other requests there.
class predicted_first_token
{
public:
    explicit predicted_first_token(predicted_first_token_settings settings = {});

    /// Chooses the candidate with the lowest cost. Nearly equal costs are decided by a hash of the request,
    /// so that many gateways that share the same stale load reports don't all choose the same upstream.
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
    candidate_list list_;               // scratch buffer, reused between calls
    std::vector<prefix_match> matches_; // scratch buffer
    std::vector<costed> costs_;         // scratch buffer
};

} // namespace dragonflymill
