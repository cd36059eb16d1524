#include "dragonflymill/route/subset.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace dragonflymill {

namespace {

struct scored_upstream
{
    bool other_region = false;
    std::size_t rank_in_domain = 0; // rank within its failure domain
    std::uint64_t score = 0;
    std::size_t index = 0;
};

/// Ranks the upstreams of one model in the order in which this gateway selects them.
auto rank_upstreams(const subset_settings& settings, std::span<const upstream_description> upstreams,
                    const std::vector<std::size_t>& serving) -> std::vector<scored_upstream>
{
    const std::uint64_t key = stable_hash(settings.gateway.text());
    std::map<failure_domain_id, std::vector<scored_upstream>> domains;
    for (const auto i : serving) {
        const bool other_region = upstreams[i].region != settings.region;
        domains[upstreams[i].failure_domain].push_back(
            {other_region, 0, rendezvous_score(key, upstreams[i].id.text()), i});
    }
    std::vector<scored_upstream> order;
    for (auto& [domain, members] : domains) {
        std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) {
            return std::tie(b.score, a.index) < std::tie(a.score, b.index);
        });
        for (std::size_t rank_in_domain = 0; rank_in_domain < members.size(); ++rank_in_domain) {
            members[rank_in_domain].rank_in_domain = rank_in_domain;
            order.push_back(members[rank_in_domain]);
        }
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::tie(a.other_region, a.rank_in_domain, b.score, a.index) <
               std::tie(b.other_region, b.rank_in_domain, a.score, b.index);
    });
    return order;
}

} // namespace

auto choose_subset(const subset_settings& settings, std::span<const upstream_description> upstreams)
    -> std::vector<upstream_description>
{
    std::map<model_id, std::vector<std::size_t>> serving;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        for (const auto& model : upstreams[i].models) {
            serving[model].push_back(i);
        }
    }
    std::set<std::size_t> chosen;
    for (const auto& [model, members] : serving) {
        const auto order = rank_upstreams(settings, upstreams, members);
        const std::size_t subset_size = std::min(settings.per_model, order.size());
        for (std::size_t i = 0; i < subset_size && chosen.size() < settings.max_upstreams; ++i) {
            chosen.insert(order[i].index);
        }
    }
    std::vector<upstream_description> subset;
    subset.reserve(chosen.size());
    for (const auto i : chosen) {
        subset.push_back(upstreams[i]);
    }
    std::sort(subset.begin(), subset.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return subset;
}

} // namespace dragonflymill
