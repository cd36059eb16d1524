#include "dragonflymill/lease/lease_table.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Doublings after which the delay between cancels has reached its maximum in any case.
constexpr std::uint32_t max_doublings = 16;

auto held_elsewhere() -> error
{
    return {error_kind::conflict, "the engine holds this for another owner, or it is being cancelled",
            "use a new attempt number or span name"};
}

auto table_full() -> error
{
    return {error_kind::limit_reached, "the sidecar follows as many holdings as it may",
            "try another upstream, or raise max_holdings in the sidecar's settings"};
}

} // namespace

lease_table::lease_table(lease_table_options options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

auto lease_table::hold(instant now, const process_id& owner, const holding& what) -> result<holding_lease>
{
    const auto known = by_name_.find(what.name);
    if (known != by_name_.end()) {
        entry& held = leases_.at(known->second);
        const bool claimable = held.state == hold_state::adopted;
        const bool same = held.state == hold_state::owned && held.owner == owner;
        if (!claimable && !same) {
            return held_elsewhere();
        }
        held.state = hold_state::owned;
        held.owner = owner;
        set_due(known->second, held, now + options_.term);
        return holding_lease{known->second, held.due};
    }
    if (leases_.size() >= options_.max_holdings) {
        return table_full();
    }
    const lease_id lease = add(now, what, owner, hold_state::owned);
    return holding_lease{lease, leases_.at(lease).due};
}

auto lease_table::add(instant now, const holding& what, const process_id& owner, hold_state state) -> lease_id
{
    const lease_id lease(next_lease_++);
    entry& held = leases_[lease];
    held.what = what;
    held.owner = owner;
    held.state = state;
    held.began = now;
    held.due = now + (state == hold_state::adopted ? options_.adopt_grace : options_.term);
    due_.emplace(held.due, lease);
    by_name_.emplace(what.name, lease);
    tokens_ += what.size;
    return lease;
}

auto lease_table::renew(instant now, lease_id lease) -> bool
{
    extend_leases_after_pause(now);
    const auto found = leases_.find(lease);
    if (found == leases_.end() || found->second.state != hold_state::owned) {
        return false;
    }
    // The lease has expired even if no tick has ended it yet. An owner that was paused must not get it back.
    if (guard_holds(guard::lease_end) && found->second.due <= now) {
        return false;
    }
    set_due(lease, found->second, now + options_.term);
    return true;
}

void lease_table::release(instant now, lease_id lease)
{
    const auto found = leases_.find(lease);
    if (found != leases_.end() && found->second.state != hold_state::cancelling) {
        cancel(now, found);
    }
}

void lease_table::confirmed(const holding_name& name)
{
    const auto known = by_name_.find(name);
    if (known != by_name_.end()) {
        remove(leases_.find(known->second));
    }
}

void lease_table::owner_gone(instant now, const process_id& owner)
{
    for (auto held = leases_.begin(); held != leases_.end(); ++held) {
        if (held->second.state == hold_state::owned && held->second.owner == owner) {
            end(now, held, lease_end::owner_gone);
        }
    }
}

void lease_table::end(instant now, entries::iterator held, lease_end why)
{
    ended_.push_back({held->first, held->second.owner, held->second.what, why});
    cancel(now, held);
}

void lease_table::cancel(instant now, entries::iterator held)
{
    held->second.state = hold_state::cancelling;
    held->second.send_count = 0;
    ++cancelling_;
    set_due(held->first, held->second, now);
}

void lease_table::set_due(lease_id lease, entry& held, instant due)
{
    due_.erase({held.due, lease});
    held.due = due;
    due_.emplace(due, lease);
}

void lease_table::remove(entries::iterator held)
{
    cancelling_ -= held->second.state == hold_state::cancelling ? 1 : 0;
    tokens_ -= held->second.what.size;
    due_.erase({held->second.due, held->first});
    by_name_.erase(held->second.what.name);
    leases_.erase(held);
}

void lease_table::reconcile(instant now, const engine_inventory& inventory)
{
    // An inventory that is older than the last one is outdated and may be of an earlier start of the engine.
    if (last_inventory_ && inventory.asked < *last_inventory_) {
        return;
    }
    last_inventory_ = inventory.asked;
    if (engine_start_ && *engine_start_ != inventory.start) {
        engine_restarted();
    }
    engine_start_ = inventory.start;
    drop_unlisted(inventory);
    adopt_unknown(now, inventory);
}

void lease_table::engine_restarted()
{
    while (!leases_.empty()) {
        const auto held = leases_.begin();
        if (held->second.state != hold_state::cancelling) {
            ended_.push_back({held->first, held->second.owner, held->second.what, lease_end::engine_started});
        }
        remove(held);
    }
}

void lease_table::drop_unlisted(const engine_inventory& inventory)
{
    std::set<holding_name> listed;
    for (const holding& item : inventory.held) {
        listed.insert(item.name);
    }
    for (auto next = leases_.begin(); next != leases_.end();) {
        const auto held = next++;
        // A holding that began after the query may be missing from the list although the engine holds it. So
        // may one whose request is still on its way to the engine, for which one lease term is allowed.
        const bool settled = held->second.began + options_.term <= inventory.asked;
        if (!settled || listed.count(held->second.what.name) > 0) {
            continue;
        }
        if (held->second.state != hold_state::cancelling) {
            ended_.push_back({held->first, held->second.owner, held->second.what, lease_end::engine_dropped});
        }
        remove(held);
    }
}

void lease_table::adopt_unknown(instant now, const engine_inventory& inventory)
{
    for (const holding& item : inventory.held) {
        const bool has_capacity = leases_.size() < options_.max_holdings + options_.max_adopted;
        if (has_capacity && by_name_.count(item.name) == 0) {
            add(now, item, process_id(), hold_state::adopted);
        }
    }
}

auto lease_table::tick(instant now) -> lease_actions
{
    extend_leases_after_pause(now);
    lease_actions actions;
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto held = leases_.find(due_.begin()->second);
        entry& due = held->second;
        if (due.state != hold_state::cancelling) {
            if (!guard_holds(guard::lease_end)) {
                set_due(held->first, due, now + options_.term);
                continue;
            }
            const bool claimed = due.state == hold_state::owned;
            end(now, held, claimed ? lease_end::not_renewed : lease_end::not_claimed);
            continue;
        }
        if (actions.cancels.size() >= options_.max_cancels) {
            break;
        }
        // Guarded failure: the cancel itself is lost. It is repeated without limit until the engine confirms
        // that it no longer holds the stream or span.
        ++due.send_count;
        actions.cancels.push_back({due.what.name, due.send_count});
        set_due(held->first, due, now + next_retry(due.send_count));
    }
    actions.ended = std::exchange(ended_, {});
    return actions;
}

void lease_table::extend_leases_after_pause(instant now)
{
    // Guarded failure: this process was paused, and the renewals sent meanwhile are still in its socket
    // buffers.
    const bool paused = last_call_ && now - *last_call_ > options_.pause_threshold;
    const duration gap = paused ? now - *last_call_ : duration::zero();
    last_call_ = now;
    for (auto held = leases_.begin(); paused && held != leases_.end(); ++held) {
        if (held->second.state != hold_state::cancelling) {
            set_due(held->first, held->second, held->second.due + gap);
        }
    }
}

auto lease_table::next_retry(std::uint32_t send_count) -> duration
{
    const std::uint32_t doublings = std::min(send_count - 1, max_doublings);
    const duration max_delay = std::min(options_.initial_retry * (1U << doublings), options_.max_retry);
    const auto half = static_cast<std::uint64_t>(max_delay.count() / 2);
    return max_delay / 2 + duration(static_cast<duration::rep>(random_.below(half + 1)));
}

} // namespace dragonflymill
