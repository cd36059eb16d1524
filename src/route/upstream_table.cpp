#include "dragonflymill/route/upstream_table.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

auto has_lower_name(const upstream_record& record, const upstream_id& id) -> bool
{
    return record.description().id < id;
}

/// Ranks refusal reasons by how close the request came to being accepted; the highest one is reported to the
/// client.
auto obstacle_rank(refusal_code obstacle) -> int
{
    switch (obstacle) {
    case refusal_code::upstream_cold:
        return 5;
    case refusal_code::overloaded:
        return 4;
    case refusal_code::upstream_gone:
        return 3;
    case refusal_code::draining:
        return 2;
    case refusal_code::too_large:
        return 1;
    default:
        return 0;
    }
}

/// Why `record`, which serves the model, isn't eligible for the request; `internal` if it is.
auto obstacle_of(const upstream_record& record, const route_request& request) -> refusal_code
{
    const token_count context = request.prompt_tokens + request.max_tokens;
    if (record.state() == upstream_state::dead) {
        return refusal_code::upstream_gone;
    }
    if (!record.takes_new_work()) {
        return refusal_code::draining;
    }
    if (record.description().memory != 0 && context > record.description().memory) {
        return refusal_code::too_large;
    }
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), record.description().id) != excluded.end()) {
        return refusal_code::upstream_gone;
    }
    return record.ramp_full(request.prompt_tokens) ? refusal_code::upstream_cold : refusal_code::internal;
}

} // namespace

auto upstream_table::configure(std::vector<upstream_description> descriptions) -> result<void>
{
    if (descriptions.size() > settings_.max_upstreams) {
        return error(error_kind::limit_reached,
                     std::to_string(descriptions.size()) + " upstreams for a table of " +
                         std::to_string(settings_.max_upstreams),
                     "reduce the subset's max_upstreams or raise that of the table");
    }
    std::sort(descriptions.begin(), descriptions.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    const auto have_same_name = [](const auto& a, const auto& b) { return a.id == b.id; };
    if (std::adjacent_find(descriptions.begin(), descriptions.end(), have_same_name) != descriptions.end()) {
        return error(error_kind::invalid_input, "duplicate upstream id in the configuration",
                     "give each upstream a unique id");
    }
    std::vector<upstream_record> next;
    next.reserve(descriptions.size());
    for (auto& description : descriptions) {
        const upstream_record* known = find(description.id);
        next.push_back(known != nullptr ? *known : upstream_record(description));
        next.back().describe(std::move(description));
        apply_drain(next.back());
    }
    records_ = std::move(next);
    probed_at_.assign(records_.size(), instant{});
    return success();
}

void upstream_table::report(instant now, const upstream_id& upstream, const upstream_load& load)
{
    if (upstream_record* record = editable(upstream)) {
        record->report(now, load);
    }
}

void upstream_table::set_state(const upstream_id& upstream, upstream_state state)
{
    if (upstream_record* record = editable(upstream)) {
        record->set_state(state);
    }
}

void upstream_table::set_drained(const upstream_id& upstream, bool drained)
{
    if (!drained) {
        drained_upstreams_.erase(upstream);
    }
    else if (drained_upstreams_.size() < settings_.max_upstreams) {
        drained_upstreams_.insert(upstream);
    }
    if (upstream_record* record = editable(upstream)) {
        apply_drain(*record);
    }
}

void upstream_table::set_drained(const failure_domain_id& failure_domain, bool drained)
{
    if (!drained) {
        drained_domains_.erase(failure_domain);
    }
    else if (drained_domains_.size() < settings_.max_upstreams) {
        drained_domains_.insert(failure_domain);
    }
    for (auto& record : records_) {
        apply_drain(record);
    }
}

void upstream_table::apply_drain(upstream_record& record) const
{
    const auto& description = record.description();
    record.set_drained(drained_upstreams_.count(description.id) != 0 ||
                       drained_domains_.count(description.failure_domain) != 0);
}

auto upstream_table::sent(instant now, const upstream_id& upstream, const dispatched_work& work) -> bool
{
    upstream_record* record = editable(upstream);
    return record != nullptr && record->sent(now, work);
}

void upstream_table::first_token(instant now, const upstream_id& upstream, const request_id& request,
                                 attempt_number attempt)
{
    if (upstream_record* record = editable(upstream)) {
        record->first_token(now, request, attempt);
    }
}

void upstream_table::finished(instant now, const upstream_id& upstream, const request_id& request,
                              attempt_number attempt)
{
    if (upstream_record* record = editable(upstream)) {
        record->finished(now, request, attempt);
    }
}

void upstream_table::candidates(const route_request& request, candidate_list& list) const
{
    list.upstreams.clear();
    list.obstacle = refusal_code::no_route;
    bool any_alive = false;
    for (const auto& record : records_) {
        if (!record.serves(request.model, request.adapter)) {
            continue;
        }
        const refusal_code obstacle = obstacle_of(record, request);
        if (obstacle == refusal_code::internal) {
            any_alive = any_alive || record.state() == upstream_state::alive;
            list.upstreams.push_back(&record);
        }
        else if (obstacle_rank(obstacle) > obstacle_rank(list.obstacle)) {
            list.obstacle = obstacle;
        }
    }
    if (any_alive) {
        std::erase_if(list.upstreams, [](const auto* r) { return r->state() == upstream_state::suspect; });
    }
}

auto upstream_table::probes_due(instant now) -> std::vector<upstream_id>
{
    std::vector<std::size_t> due;
    for (std::size_t i = 0; i < records_.size(); ++i) {
        const bool is_stale =
            !records_[i].has_load() || records_[i].load_age(now) >= settings_.probe_interval;
        const bool recently_probed =
            probed_at_[i] != instant{} && now - probed_at_[i] < settings_.probe_interval;
        if (is_stale && !recently_probed && records_[i].state() != upstream_state::dead) {
            due.push_back(i);
        }
    }
    const auto has_older_load = [this, now](std::size_t a, std::size_t b) {
        return records_[a].load_age(now) > records_[b].load_age(now);
    };
    std::stable_sort(due.begin(), due.end(), has_older_load);
    due.resize(std::min(due.size(), settings_.max_probes));
    std::vector<upstream_id> names;
    for (const auto i : due) {
        probed_at_[i] = now;
        names.push_back(records_[i].description().id);
    }
    return names;
}

auto upstream_table::find(const upstream_id& upstream) const -> const upstream_record*
{
    const auto found = std::lower_bound(records_.begin(), records_.end(), upstream, has_lower_name);
    return found == records_.end() || found->description().id != upstream ? nullptr : &*found;
}

auto upstream_table::editable(const upstream_id& upstream) -> upstream_record*
{
    return const_cast<upstream_record*>(find(upstream)); // NOLINT: own records are mutable
}

} // namespace dragonflymill
