#include "dragonflymill/overload/caller_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflymill {

auto caller_budget::open(instant now, eviction_handler on_evicted) -> std::optional<caller_id>
{
    if (callers_.size() >= limits_.connections) {
        const auto next = next_for_connection(now);
        if (next == callers_.end()) {
            ++counts_.connections_refused;
            return std::nullopt;
        }
        evict(next, caller_eviction::connections);
    }
    const caller_id id = ++last_id_;
    record opened;
    opened.on_evicted = std::move(on_evicted);
    opened.phase_began = now;
    opened.interval_began = now;
    callers_.emplace(id, std::move(opened));
    return id;
}

void caller_budget::close(caller_id caller)
{
    release_all(caller);
    callers_.erase(caller);
}

auto caller_budget::fits(const record& which, std::size_t bytes) const -> bool
{
    const bool is_small = which.held + bytes <= small_bytes;
    const std::size_t usable = is_small ? limits_.bytes : limits_.bytes - limits_.bytes / small_share;
    return bytes <= usable && held_ <= usable - bytes;
}

auto caller_budget::claim(caller_id caller, std::size_t bytes, instant now) -> bool
{
    const auto claimant = callers_.find(caller);
    if (claimant == callers_.end()) {
        return false;
    }
    while (!fits(claimant->second, bytes)) {
        const auto next = next_for_memory(claimant->second, bytes, now);
        if (next == callers_.end() || next == claimant) {
            ++counts_.claims_refused;
            return false;
        }
        evict(next, caller_eviction::memory);
    }
    claimant->second.held += bytes;
    held_ += bytes;
    return true;
}

void caller_budget::release(caller_id caller, std::size_t bytes)
{
    const auto found = callers_.find(caller);
    if (found == callers_.end()) {
        return;
    }
    const std::size_t released = std::min(bytes, found->second.held);
    found->second.held -= released;
    held_ -= released;
}

void caller_budget::release_all(caller_id caller)
{
    release(caller, held_by(caller));
}

auto caller_budget::held_by(caller_id caller) const -> std::size_t
{
    const auto found = callers_.find(caller);
    return found == callers_.end() ? 0 : found->second.held;
}

void caller_budget::advance_interval(record& which, instant now)
{
    const duration elapsed = now - which.interval_began;
    if (elapsed < progress_interval) {
        return;
    }
    which.received_before = elapsed < 2 * progress_interval ? which.received : 0;
    which.received = 0;
    which.interval_began = now;
}

void caller_budget::received(caller_id caller, std::size_t bytes, instant now)
{
    if (const auto found = callers_.find(caller); found != callers_.end()) {
        advance_interval(found->second, now);
        found->second.received += bytes;
    }
}

void caller_budget::set_phase(caller_id caller, caller_phase phase, instant now)
{
    const auto found = callers_.find(caller);
    if (found != callers_.end() && found->second.phase != phase) {
        found->second.phase = phase;
        found->second.phase_began = now;
    }
}

auto caller_budget::progress(record& which, instant now) -> std::size_t
{
    advance_interval(which, now);
    return which.received + which.received_before;
}

auto caller_budget::next_for_memory(const record& claimant, std::size_t bytes, instant now)
    -> caller_map::iterator
{
    const bool claims_small = claimant.held + bytes <= small_bytes;
    auto next = callers_.end();
    double most = 0.0;
    for (auto each = callers_.begin(); each != callers_.end(); ++each) {
        record& candidate = each->second;
        const bool incomplete =
            candidate.phase == caller_phase::receiving || candidate.phase == caller_phase::closing;
        const bool eligible = candidate.held > small_bytes || (claims_small && candidate.held > 0);
        if (!incomplete || !eligible) {
            continue;
        }
        const auto age = static_cast<double>((now - candidate.phase_began + min_age).count());
        const double cost =
            static_cast<double>(candidate.held) * age / static_cast<double>(progress(candidate, now) + 1);
        if (cost > most) {
            next = each;
            most = cost;
        }
    }
    return next;
}

auto caller_budget::next_for_connection(instant now) -> caller_map::iterator
{
    const auto rank = [](caller_phase phase) {
        switch (phase) {
        case caller_phase::closing:
            return 0;
        case caller_phase::idle:
            return 1;
        case caller_phase::receiving:
            return 2;
        case caller_phase::flushing:
        case caller_phase::responding:
            break;
        }
        return 3;
    };
    auto next = callers_.end();
    std::tuple<int, std::size_t, instant> next_key;
    for (auto each = callers_.begin(); each != callers_.end(); ++each) {
        record& candidate = each->second;
        if (candidate.phase == caller_phase::responding) {
            continue;
        }
        const std::size_t made =
            candidate.phase == caller_phase::receiving ? progress(candidate, now) : std::size_t{0};
        const std::tuple key{rank(candidate.phase), made, candidate.phase_began};
        if (next == callers_.end() || key < next_key) {
            next = each;
            next_key = key;
        }
    }
    return next;
}

void caller_budget::evict(caller_map::iterator which, caller_eviction why)
{
    held_ -= which->second.held;
    which->second.held = 0;
    which->second.phase = caller_phase::closing;
    const eviction_handler on_evicted = which->second.on_evicted;
    if (why == caller_eviction::connections) {
        ++counts_.evicted_for_connections;
        callers_.erase(which);
    }
    else {
        ++counts_.evicted_for_memory;
    }
    if (on_evicted) {
        on_evicted(why);
    }
}

} // namespace dragonflymill
