#include "dragonflymill/direct/upstream_list.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill::direct {

auto run_of(const upstream_entry& entry) -> upstream_run
{
    return stable_hash(entry.id, static_cast<std::uint64_t>(entry.started_ms));
}

void upstream_list::take(const std::string& key, const decoded_record& record, instant now)
{
    if (const auto* config = std::get_if<std::shared_ptr<const fleet_config>>(&record)) {
        if (config_ == nullptr || (*config)->version() > config_->version()) {
            config_ = *config;
        }
        return;
    }
    if (const auto* entry = std::get_if<upstream_entry>(&record)) {
        take_entry(key, *entry, now);
        return;
    }
    if (const auto* drained = std::get_if<drained_domain>(&record)) {
        domain_by_key_[key] = drained->failure_domain;
        drained_domains_.insert(drained->failure_domain);
        return;
    }
    // An entry that cannot be decoded names no usable upstream.
    remove(key, false, now);
}

void upstream_list::take_entry(const std::string& key, const upstream_entry& entry, instant now)
{
    const auto [known, is_new] = upstreams_.emplace(entry.id, upstream_state{});
    upstream_state& state = known->second;
    const bool restarted = !is_new && state.entry.started_ms != entry.started_ms;
    if (is_new || restarted) {
        state.cold_since = now;
        state.cold_until = now + entry.cold_remaining;
    }
    else if (entry.cold_remaining > duration::zero()) {
        extend_cold_start(state, now + entry.cold_remaining, now);
    }
    if (!is_new) {
        --service_sizes_[state.entry.service];
    }
    ++service_sizes_[entry.service];
    state.entry = entry;
    state.key = stable_hash(entry.id);
    state.removed_at.reset();
    id_by_key_[key] = entry.id;
}

void upstream_list::extend_cold_start(upstream_state& upstream, instant until, instant now)
{
    if (upstream.cold_until <= now && until > now) {
        upstream.cold_since = now;
    }
    upstream.cold_until = std::max(upstream.cold_until, until);
}

void upstream_list::remove(const std::string& key, bool after_outage, instant now)
{
    if (const auto domain = domain_by_key_.find(key); domain != domain_by_key_.end()) {
        drained_domains_.erase(domain->second);
        for (auto& [id, state] : upstreams_) {
            // While a failure domain is drained, its upstreams may have restarted or become cold unnoticed.
            if (state.entry.failure_domain == domain->second) {
                extend_cold_start(state, now + cold_time(state.entry.service), now);
            }
        }
        domain_by_key_.erase(domain);
        return;
    }
    const auto id = id_by_key_.find(key);
    if (id == id_by_key_.end()) {
        return;
    }
    if (after_outage && !upstreams_[id->second].entry.leaving) {
        upstreams_[id->second].removed_at = now;
        return;
    }
    erase(id->second);
    id_by_key_.erase(id);
}

void upstream_list::erase(const std::string& id)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end()) {
        --service_sizes_[found->second.entry.service];
        upstreams_.erase(found);
    }
}

void upstream_list::tick(instant now)
{
    for (auto it = id_by_key_.begin(); it != id_by_key_.end();) {
        const auto& removed_at = upstreams_[it->second].removed_at;
        if (removed_at && now - *removed_at >= removal_delay_) {
            erase(it->second);
            it = id_by_key_.erase(it);
            continue;
        }
        ++it;
    }
}

auto upstream_list::size_of(const std::string& service) const -> std::size_t
{
    const auto found = service_sizes_.find(service);
    return found == service_sizes_.end() ? 0 : found->second;
}

auto upstream_list::largest_service() const -> std::size_t
{
    std::size_t largest = 0;
    for (const auto& [service, size] : service_sizes_) {
        largest = std::max(largest, size);
    }
    return largest;
}

auto upstream_list::accepts_work(const upstream_state& upstream) const -> bool
{
    return !upstream.entry.leaving && !drained_domains_.contains(upstream.entry.failure_domain);
}

auto upstream_list::cold_time(const std::string& service) const -> duration
{
    const service_rule* rule = config_ == nullptr ? nullptr : config_->find_service(service);
    return rule == nullptr ? duration::zero() : rule->cold_time;
}

} // namespace dragonflymill::direct
