#include "dragonflymill/direct/load_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::direct {

auto load_tracker::reported_load::at(instant now) const -> upstream_load
{
    upstream_load current = load;
    current.pending_prefill =
        std::max(prefill_until - now, scaled(load.pending_prefill, min_pending_prefill_share));
    return current;
}

auto load_tracker::place(placement call, instant now) -> placement_id
{
    ++own_version_;
    add(call, now);
    const placement_id id = ++next_id_;
    placed_.emplace(id, placed_call{std::move(call), false});
    return id;
}

void load_tracker::prefill_done(placement_id id, instant now)
{
    const auto found = placed_.find(id);
    if (found == placed_.end() || found->second.prefilled) {
        return;
    }
    const placement& call = found->second.call;
    found->second.prefilled = true;
    ++own_version_;
    reported_load& own = modify_own(stable_hash(call.upstream));
    own.load.unread_calls -= call.is_long ? 1 : 0;
    subtract_prefill(own, call.prefill_time, now);
    for (const prefill_share& share : call.prefill_engines) {
        reported_load& other = modify_own(stable_hash(share.upstream));
        --other.load.parts;
        subtract_prefill(other, call.prefill_time, now);
    }
}

auto load_tracker::modify_own(upstream_key upstream) -> reported_load&
{
    reported_load& own = own_[upstream];
    own.changed_version = own_version_;
    return own;
}

void load_tracker::subtract_prefill(reported_load& engine, duration prefill_time, instant now) const
{
    // Prefill runs in the order of arrival: this call's prediction is consumed, and only the prefill that was
    // added later remains.
    engine.load.pending_prefill = std::max(engine.load.pending_prefill - prefill_time, duration::zero());
    engine.prefill_until = std::min(engine.prefill_until, now + engine.load.pending_prefill);
}

void load_tracker::finish(placement_id id, instant now)
{
    prefill_done(id, now);
    const auto found = placed_.find(id);
    if (found == placed_.end()) {
        return;
    }
    const placement call = std::move(found->second.call);
    placed_.erase(found);
    ++own_version_;
    reported_load& own = modify_own(stable_hash(call.upstream));
    --(call.is_long ? own.load.long_calls : own.load.short_calls);
    own.load.memory_tokens -= call.memory_tokens;
    if (call.tbt_target > duration::zero()) {
        if (--own.tbt_targets[call.tbt_target] == 0) {
            own.tbt_targets.erase(call.tbt_target);
        }
        own.load.tightest_tbt_target =
            own.tbt_targets.empty() ? duration::zero() : own.tbt_targets.begin()->first;
    }
    DRAGONFLYMILL_ASSERT(own.load.short_calls >= 0 && own.load.long_calls >= 0, "a call is finished once");
    for (const prefill_share& share : call.prefill_engines) {
        modify_own(stable_hash(share.upstream)).load.memory_tokens -= share.reserved_tokens;
    }
}

void load_tracker::add(const placement& call, instant now)
{
    const auto add_prefill = [&](reported_load& engine) {
        engine.load.pending_prefill += call.prefill_time;
        engine.prefill_until = std::max(engine.prefill_until, now) + call.prefill_time;
    };
    reported_load& own = modify_own(stable_hash(call.upstream));
    ++(call.is_long ? own.load.long_calls : own.load.short_calls);
    own.load.unread_calls += call.is_long ? 1 : 0;
    own.load.memory_tokens += call.memory_tokens;
    if (call.tbt_target > duration::zero()) {
        ++own.tbt_targets[call.tbt_target];
        own.load.tightest_tbt_target = own.tbt_targets.begin()->first;
    }
    add_prefill(own);
    for (const prefill_share& share : call.prefill_engines) {
        reported_load& other = modify_own(stable_hash(share.upstream));
        ++other.load.parts;
        other.load.memory_tokens += share.reserved_tokens;
        add_prefill(other);
    }
}

void load_tracker::set_suspect(upstream_key upstream, bool suspect)
{
    const auto known = own_.find(upstream);
    if (known == own_.end() ? !suspect : known->second.load.suspected_by == (suspect ? 1 : 0)) {
        return;
    }
    ++own_version_;
    modify_own(upstream).load.suspected_by = suspect ? 1 : 0;
}

auto load_tracker::apply_report(const load_report& report, instant now) -> bool
{
    reported_loads& known = peers_[report.gateway];
    if (report.sequence <= known.sequence) {
        return false;
    }
    known.sequence = report.sequence;
    if (report.is_complete) {
        remove_loads(report.gateway, known);
    }
    for (const auto& [upstream, load] : report.loads) {
        if (load == upstream_load{}) {
            remove_load(upstream, report.gateway);
            known.upstreams.erase(upstream);
            continue;
        }
        peer_loads_[upstream][report.gateway] = reported_load{load, now + load.pending_prefill, {}, 0};
        known.upstreams.insert(upstream);
    }
    return true;
}

void load_tracker::remove_loads(const std::string& gateway, reported_loads& report)
{
    for (const upstream_key upstream : report.upstreams) {
        remove_load(upstream, gateway);
    }
    report.upstreams.clear();
}

void load_tracker::remove_load(upstream_key upstream, const std::string& gateway)
{
    const auto reported = peer_loads_.find(upstream);
    if (reported == peer_loads_.end()) {
        return;
    }
    reported->second.erase(gateway);
    if (reported->second.empty()) {
        peer_loads_.erase(reported);
    }
}

void load_tracker::remove_gateway(const std::string& gateway)
{
    if (const auto known = peers_.find(gateway); known != peers_.end()) {
        remove_loads(gateway, known->second);
        peers_.erase(known);
    }
}

auto load_tracker::load_of(upstream_key upstream, instant now) const -> upstream_load
{
    upstream_load sum;
    if (const auto own = own_.find(upstream); own != own_.end()) {
        sum = own->second.at(now);
    }
    const auto reported = peer_loads_.find(upstream);
    if (reported == peer_loads_.end()) {
        return sum;
    }
    for (const auto& [gateway, from_gateway] : reported->second) {
        const upstream_load load = from_gateway.at(now);
        sum.short_calls += load.short_calls;
        sum.long_calls += load.long_calls;
        sum.unread_calls += load.unread_calls;
        sum.suspected_by += load.suspected_by;
        sum.parts += load.parts;
        sum.memory_tokens += load.memory_tokens;
        sum.pending_prefill += load.pending_prefill;
        if (load.tightest_tbt_target > duration::zero() &&
            (sum.tightest_tbt_target == duration::zero() ||
             load.tightest_tbt_target < sum.tightest_tbt_target)) {
            sum.tightest_tbt_target = load.tightest_tbt_target;
        }
    }
    return sum;
}

auto load_tracker::own_loads(instant now, std::optional<std::uint64_t> since) const
    -> std::map<upstream_key, upstream_load>
{
    std::map<upstream_key, upstream_load> loads;
    for (const auto& [upstream, load] : own_) {
        const upstream_load current = load.at(now);
        const bool reported = since ? load.changed_version > *since : current != upstream_load{};
        if (reported) {
            loads.emplace(upstream, current);
        }
    }
    return loads;
}

auto load_tracker::own_calls(upstream_key upstream) const -> int
{
    const auto found = own_.find(upstream);
    return found == own_.end() ? 0 : found->second.load.short_calls + found->second.load.long_calls;
}

} // namespace dragonflymill::direct
