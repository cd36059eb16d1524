#include "dragonflymill/direct/load_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::direct {

auto load_tracker::reported_load::at(instant now) const -> upstream_load
{
    upstream_load current = load;
    current.pending_prefill = std::max(read_until - now, scaled(load.pending_prefill, least_unread_share));
    return current;
}

auto load_tracker::place(placement call, instant now) -> placement_id
{
    ++own_changes_;
    add(call, now);
    const placement_id id = ++next_id_;
    placed_.emplace(id, placed_call{std::move(call), false});
    return id;
}

void load_tracker::reading_done(placement_id id, instant now)
{
    const auto found = placed_.find(id);
    if (found == placed_.end() || found->second.read) {
        return;
    }
    const placement& call = found->second.call;
    found->second.read = true;
    ++own_changes_;
    reported_load& own = changing(stable_hash(call.upstream));
    own.load.unread_calls -= call.is_long ? 1 : 0;
    end_reading(own, call.reading, now);
    for (const helper_share& helper : call.helpers) {
        reported_load& other = changing(stable_hash(helper.upstream));
        --other.load.parts;
        end_reading(other, call.reading, now);
    }
}

auto load_tracker::changing(upstream_key upstream) -> reported_load&
{
    reported_load& own = own_[upstream];
    own.changed = own_changes_;
    return own;
}

void load_tracker::end_reading(reported_load& reader, duration reading, instant now) const
{
    // Reading is done in the order of arrival, so that what was forecast for it is over now, and only what
    // was added later remains.
    reader.load.pending_prefill = std::max(reader.load.pending_prefill - reading, duration::zero());
    reader.read_until = std::min(reader.read_until, now + reader.load.pending_prefill);
}

void load_tracker::finish(placement_id id, instant now)
{
    reading_done(id, now);
    const auto found = placed_.find(id);
    if (found == placed_.end()) {
        return;
    }
    const placement call = std::move(found->second.call);
    placed_.erase(found);
    ++own_changes_;
    reported_load& own = changing(stable_hash(call.upstream));
    --(call.is_long ? own.load.long_calls : own.load.short_calls);
    own.load.memory_tokens -= call.memory_tokens;
    if (call.tbt_target > duration::zero()) {
        if (--own.pauses[call.tbt_target] == 0) {
            own.pauses.erase(call.tbt_target);
        }
        own.load.tightest_tbt_target = own.pauses.empty() ? duration::zero() : own.pauses.begin()->first;
    }
    DRAGONFLYMILL_ASSERT(own.load.short_calls >= 0 && own.load.long_calls >= 0, "a call is finished once");
    for (const helper_share& helper : call.helpers) {
        changing(stable_hash(helper.upstream)).load.memory_tokens -= helper.reserved_tokens;
    }
}

void load_tracker::add(const placement& call, instant now)
{
    const auto add_reading = [&](reported_load& reader) {
        reader.load.pending_prefill += call.reading;
        reader.read_until = std::max(reader.read_until, now) + call.reading;
    };
    reported_load& own = changing(stable_hash(call.upstream));
    ++(call.is_long ? own.load.long_calls : own.load.short_calls);
    own.load.unread_calls += call.is_long ? 1 : 0;
    own.load.memory_tokens += call.memory_tokens;
    if (call.tbt_target > duration::zero()) {
        ++own.pauses[call.tbt_target];
        own.load.tightest_tbt_target = own.pauses.begin()->first;
    }
    add_reading(own);
    for (const helper_share& helper : call.helpers) {
        reported_load& other = changing(stable_hash(helper.upstream));
        ++other.load.parts;
        other.load.memory_tokens += helper.reserved_tokens;
        add_reading(other);
    }
}

void load_tracker::set_suspect(upstream_key upstream, bool suspect)
{
    const auto known = own_.find(upstream);
    if (known == own_.end() ? !suspect : known->second.load.suspected_by == (suspect ? 1 : 0)) {
        return;
    }
    ++own_changes_;
    changing(upstream).load.suspected_by = suspect ? 1 : 0;
}

void load_tracker::apply_report(const load_report& report, instant now)
{
    reported_loads& known = others_[report.gateway];
    if (report.sequence <= known.sequence) {
        return;
    }
    known.sequence = report.sequence;
    if (report.is_complete) {
        forget_loads(report.gateway, known);
    }
    for (const auto& [upstream, load] : report.loads) {
        if (load == upstream_load{}) {
            remove_load(upstream, report.gateway);
            known.upstreams.erase(upstream);
            continue;
        }
        others_loads_[upstream][report.gateway] = reported_load{load, now + load.pending_prefill, {}, 0};
        known.upstreams.insert(upstream);
    }
}

void load_tracker::forget_loads(const std::string& gateway, reported_loads& report)
{
    for (const upstream_key upstream : report.upstreams) {
        remove_load(upstream, gateway);
    }
    report.upstreams.clear();
}

void load_tracker::remove_load(upstream_key upstream, const std::string& gateway)
{
    const auto reported = others_loads_.find(upstream);
    if (reported == others_loads_.end()) {
        return;
    }
    reported->second.erase(gateway);
    if (reported->second.empty()) {
        others_loads_.erase(reported);
    }
}

void load_tracker::remove_gateway(const std::string& gateway)
{
    if (const auto known = others_.find(gateway); known != others_.end()) {
        forget_loads(gateway, known->second);
        others_.erase(known);
    }
}

auto load_tracker::load_of(upstream_key upstream, instant now) const -> upstream_load
{
    upstream_load sum;
    if (const auto own = own_.find(upstream); own != own_.end()) {
        sum = own->second.at(now);
    }
    const auto reported = others_loads_.find(upstream);
    if (reported == others_loads_.end()) {
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
        const bool reported = since ? load.changed > *since : current != upstream_load{};
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
