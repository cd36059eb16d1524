#include "dragonflymill/route/length_lanes.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

namespace dragonflymill {

namespace {

struct ranked_upstream
{
    std::size_t rank_in_domain = 0; // rank within its failure domain
    std::uint64_t score = 0;
    std::size_t index = 0;
};

auto rank_upstreams(const model_id& model, std::span<const upstream_description> upstreams,
                    const std::vector<std::size_t>& serving) -> std::vector<ranked_upstream>
{
    const std::uint64_t key = stable_hash(model.text());
    std::vector<ranked_upstream> order;
    order.reserve(serving.size());
    for (const auto i : serving) {
        order.push_back({0, rendezvous_score(key, upstreams[i].id.text()), i});
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::tie(b.score, a.index) < std::tie(a.score, b.index);
    });
    std::map<failure_domain_id, std::size_t> domain_counts;
    for (auto& each : order) {
        each.rank_in_domain = domain_counts[upstreams[each.index].failure_domain]++;
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.rank_in_domain < b.rank_in_domain; });
    return order;
}

} // namespace

void reserve_for_short(double share, std::span<upstream_description> upstreams)
{
    std::map<model_id, std::vector<std::size_t>> serving;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].takes_bulk = true;
        for (const auto& model : upstreams[i].models) {
            serving[model].push_back(i);
        }
    }
    for (const auto& [model, members] : serving) {
        const auto reserved_count =
            static_cast<std::size_t>(std::lround(share * static_cast<double>(members.size())));
        const auto order = rank_upstreams(model, upstreams, members);
        for (std::size_t i = 0; i < std::min(reserved_count, members.size() - 1); ++i) {
            upstreams[order[i].index].takes_bulk = false;
        }
    }
}

} // namespace dragonflymill
