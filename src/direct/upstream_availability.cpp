#include "dragonflymill/direct/upstream_availability.h"

#include <algorithm>

namespace dragonflymill::direct {

void upstream_availability::set_gateways(const gateway_reach& cell, const gateway_reach& known_cell)
{
    gateways_ = cell;
    // Each cell takes an equal part of a stated limit, as the calls of the other cells aren't known here.
    const auto cells = static_cast<int>(cells_.count());
    rate_limits_.set_reach({known_cell.reachable, known_cell.known * cells, known_cell.rank});
}

auto upstream_availability::record(const upstream_entry& upstream, const upstream_statement& statement,
                                   const response_times& times) -> statement_changes
{
    statement_changes changes = statements_.record(upstream, statement, times);
    changes.rate = rate_limits_.record(run_of(upstream), statement.rate, times.sent_at, times.received_at);
    return changes;
}

auto upstream_availability::apply_rate_limit_report(const std::string& gateway,
                                                    const rate_limit_report& report, instant now) -> bool
{
    return rate_limits_.apply_report(gateway, report, now);
}

void upstream_availability::expire(const upstream_list& fleet, instant now)
{
    statements_.expire(now);
    if (rate_limits_.beliefs().all().empty()) {
        return;
    }
    std::set<upstream_run> running;
    for (const auto& [id, state] : fleet.upstreams()) {
        running.insert(run_of(state.entry));
    }
    rate_limits_.retain(running, now);
}

auto upstream_availability::accepts_work(const upstream_list& fleet, const upstream_state& upstream,
                                         instant now) const -> bool
{
    return fleet.accepts_work(upstream) && !statements_.draining(upstream, now);
}

auto upstream_availability::has_upstream(const upstream_list& fleet, const std::string& service,
                                         instant now) const -> bool
{
    return std::any_of(fleet.upstreams().begin(), fleet.upstreams().end(), [&](const auto& item) {
        return item.second.entry.service == service && accepts_work(fleet, item.second, now);
    });
}

auto upstream_availability::accepting_upstreams(const upstream_list& fleet, const std::string& service,
                                                bool own_part, instant now) const
    -> std::vector<const upstream_state*>
{
    const std::size_t size = fleet.size_of(service);
    std::vector<const upstream_state*> found;
    for (const auto& [id, state] : fleet.upstreams()) {
        if (state.entry.service == service && accepts_work(fleet, state, now) &&
            cells_.in_own_part(state.key, size) == own_part) {
            found.push_back(&state);
        }
    }
    return found;
}

auto upstream_availability::in_own_part(const upstream_list& fleet, const upstream_state& upstream) const
    -> bool
{
    return cells_.in_own_part(upstream.key, fleet.size_of(upstream.entry.service));
}

auto upstream_availability::reach_for(const upstream_list& fleet, const std::string& service) const
    -> gateway_reach
{
    const cell_id parts = cells_.parts_of(fleet.size_of(service));
    const auto sharing = static_cast<int>(cells_.count() / parts);
    const auto position = static_cast<int>(cells_.own() / parts);
    return {gateways_.reachable, gateways_.known * sharing, gateways_.rank * sharing + position};
}

auto upstream_availability::available_at(const upstream_list& fleet, const upstream_state& upstream,
                                         instant now) const -> instant
{
    const instant stated = std::max(rate_limits_.available_at(run_of(upstream.entry)),
                                    statements_.pushback_until(upstream, now).value_or(instant{}));
    const auto cold = cold_limit_of(fleet, upstream, now);
    if ((cold || rate_limits_.find(run_of(upstream.entry)) != nullptr) && !in_own_part(fleet, upstream)) {
        // The gateways of its own cells take all that the limit allows.
        return instant::max();
    }
    if (!cold) {
        return stated;
    }
    const auto limiter = cold_limiters_.find(upstream.entry.id);
    const cold_start_limiter& known =
        limiter == cold_limiters_.end() ? cold_start_limiter() : limiter->second;
    return std::max(stated, known.available_at(*cold, reach_for(fleet, upstream.entry.service)));
}

auto upstream_availability::all_push_back(const upstream_list& fleet, const std::string& service,
                                          instant now) const -> bool
{
    bool found = false;
    for (const auto& [id, state] : fleet.upstreams()) {
        if (state.entry.service != service || !accepts_work(fleet, state, now)) {
            continue;
        }
        found = true;
        if (!statements_.pushback_until(state, now)) {
            return false;
        }
    }
    return found;
}

auto upstream_availability::may_still_send(const upstream_list& fleet, const std::string& upstream,
                                           instant now) const -> bool
{
    const auto known = fleet.upstreams().find(upstream);
    return known != fleet.upstreams().end() && accepts_work(fleet, known->second, now) &&
           !statements_.pushback_until(known->second, now);
}

auto upstream_availability::expected_rate(const upstream_list& fleet, const upstream_state& upstream,
                                          instant now) const -> double
{
    const double stated = rate_limits_.expected_rate(run_of(upstream.entry), now);
    const auto limit = cold_limit_of(fleet, upstream, now);
    const double cold =
        limit ? limit->calls_per_s / std::max(reach_for(fleet, upstream.entry.service).known, 1) : 0.0;
    return stated > 0 && cold > 0 ? std::min(stated, cold) : std::max(stated, cold);
}

void upstream_availability::count_call(const upstream_list& fleet, const std::string& upstream, instant now)
{
    const upstream_state& state = fleet.upstreams().at(upstream);
    rate_limits_.count_call(run_of(state.entry), now);
    if (const auto limit = cold_limit_of(fleet, state, now)) {
        (void)cold_limiters_[upstream].take(now, *limit, reach_for(fleet, state.entry.service));
    }
}

auto upstream_availability::cold_limit_of(const upstream_list& fleet, const upstream_state& upstream,
                                          instant now) -> std::optional<cold_start_limit>
{
    const service_rule* service = fleet.config()->find_service(upstream.entry.service);
    if (now >= upstream.cold_until || service == nullptr || service->cold_calls_per_s <= 0.0) {
        return std::nullopt;
    }
    return cold_start_limit{service->cold_calls_per_s, upstream.cold_since};
}

auto upstream_availability::rate_limited_services(const upstream_list& fleet) const -> std::set<std::string>
{
    std::set<std::string> found;
    if (rate_limits_.beliefs().limited() == 0) {
        return found;
    }
    for (const auto& [id, state] : fleet.upstreams()) {
        if (rate_limits_.find(run_of(state.entry)) != nullptr) {
            found.insert(state.entry.service);
        }
    }
    return found;
}

} // namespace dragonflymill::direct
