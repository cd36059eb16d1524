#include "dragonflymill/route/baseline_policies.h"

#include <utility>

namespace dragonflymill {

auto round_robin::choose(instant /*now*/, const route_request& request, const upstream_table& table,
                         const prefix_map& /*prefixes*/) -> route_decision
{
    table.candidates(request, list_);
    if (list_.upstreams.empty()) {
        return refuse_route(list_);
    }
    const auto* record = list_.upstreams[turn_++ % list_.upstreams.size()];
    return choose_route(*record, request, 0, route_reason::round_robin);
}

auto least_outstanding::choose(instant /*now*/, const route_request& request, const upstream_table& table,
                               const prefix_map& /*prefixes*/) -> route_decision
{
    table.candidates(request, list_);
    if (list_.upstreams.empty()) {
        return refuse_route(list_);
    }
    const std::size_t count = list_.upstreams.size();
    const std::size_t start = turn_++ % count;
    const upstream_record* best = list_.upstreams[start];
    for (std::size_t i = 1; i < count; ++i) {
        const auto* record = list_.upstreams[(start + i) % count];
        best = record->own_in_flight() < best->own_in_flight() ? record : best;
    }
    return choose_route(*best, request, 0, route_reason::least_outstanding);
}

auto power_of_two::choose(instant /*now*/, const route_request& request, const upstream_table& table,
                          const prefix_map& /*prefixes*/) -> route_decision
{
    table.candidates(request, list_);
    const std::size_t count = list_.upstreams.size();
    if (count == 0) {
        return refuse_route(list_);
    }
    const std::size_t first = random_.below(count);
    const std::size_t other = count == 1 ? first : (first + 1 + random_.below(count - 1)) % count;
    const auto* a = list_.upstreams[first];
    const auto* b = list_.upstreams[other];
    const auto load = [](const upstream_record& record) {
        return std::pair(record.queue_ahead(length_class::gang), record.running());
    };
    return choose_route(load(*b) < load(*a) ? *b : *a, request, 0, route_reason::power_of_two);
}

} // namespace dragonflymill
