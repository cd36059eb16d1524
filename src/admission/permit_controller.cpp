#include "dragonflymill/admission/permit_controller.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill {
namespace {

/// Window over which refusals are counted to set the jitter of retry times.
constexpr duration refusal_window = 1s;
/// Time after a refusal for size during which a warm-up request is sent.
constexpr duration warm_up_interest = 10s;

auto remedy_of(refusal_code code) -> const char*
{
    switch (code) {
    case refusal_code::draining:
        return "use another upstream; this one is being taken out of service";
    case refusal_code::too_large:
        return "raise max_outstanding of the upstream or split the prompt over a gang";
    case refusal_code::upstream_cold:
        return "try another upstream, or this one after retry_after; it is warming up";
    default:
        return "try another upstream, or this one after retry_after";
    }
}

} // namespace

permit_controller::permit_controller(instant now, permit_controller_options options, std::uint64_t seed)
    : options_(options)
    , seed_(seed)
    , ramp_(now, options.ramp)
    , model_(options.first_token)
    , cold_signs_(options.cold_sign)
    , load_step_(options.load_step)
    , refusal_window_(now)
{
}

auto permit_controller::ask(instant now, const permit_request& request) -> permit_result
{
    DRAGONFLYMILL_ASSERT(request.cost > 0, "the cost of a permit request must be positive");
    advance(now);
    if (guard_holds(guard::drain) && draining_) {
        return refuse(now, request, refusal_code::draining);
    }
    if (request.cost > largest_cost(request.size_class)) {
        return refuse(now, request, refusal_code::too_large);
    }
    if (permits_.size() >= options_.max_permits) {
        return refuse(now, request, refusal_code::overloaded);
    }
    // Guarded failure: 410 gateways that each send one request to a cold upstream overload it. The limit is
    // enforced here, where all of their work passes, and not at the gateways.
    if (guard_holds(guard::cold_ramp) && request.cost > available_for(request.size_class)) {
        const bool exceeds_allowance = request.cost > ramp_.allowed();
        (exceeds_allowance ? last_size_refusal_ : last_capacity_refusal_) = now;
        const auto code = ramp_.warm() ? refusal_code::overloaded : refusal_code::upstream_cold;
        return refuse(now, request, code);
    }
    const permit granted = grant(now, request);
    DRAGONFLYMILL_ASSERT(!guard_holds(guard::cold_ramp) || outstanding_ <= ramp_.allowed(),
                         "outstanding work must not exceed the allowance");
    return granted;
}

auto permit_controller::grant(instant now, const permit_request& request) -> permit
{
    const lease_id lease(next_lease_++);
    outstanding_ += request.cost;
    outstanding_by_class_[index_of(request.size_class)] += request.cost;
    load_step_.set_outstanding(now, outstanding_);
    entry held;
    held.request = request;
    held.granted = now;
    held.until = now + options_.lease_term;
    held.epoch = ramp_.epoch();
    held.peak = outstanding_;
    ends_.emplace(held.until, lease);
    const permit granted{lease, held.until};
    permits_.emplace(lease, std::move(held));
    return granted;
}

auto permit_controller::begin(instant now, lease_id lease) -> bool
{
    advance(now);
    const auto found = permits_.find(lease);
    if (found == permits_.end() || found->second.began || (guard_holds(guard::drain) && draining_)) {
        return false;
    }
    found->second.began = now;
    return true;
}

auto permit_controller::renew(instant now, lease_id lease) -> bool
{
    advance(now);
    const auto found = permits_.find(lease);
    if (found == permits_.end() || found->second.orphaned) {
        return false;
    }
    set_until(lease, found->second, now + options_.lease_term);
    return true;
}

void permit_controller::first_token(instant now, lease_id lease)
{
    advance(now);
    const auto found = permits_.find(lease);
    if (found == permits_.end() || !found->second.began || found->second.measured) {
        return;
    }
    measure(now, found->second);
}

void permit_controller::measure(instant now, entry& held)
{
    held.measured = true;
    const duration elapsed = now - *held.began;
    const double leniency = options_.leniency[index_of(held.request.size_class)];
    const first_token_verdict verdict = model_.judge(held.request.prefill, elapsed, leniency);
    if (verdict != first_token_verdict::unjudged) {
        held.slowdown = model_.slowdown(held.request.prefill, elapsed);
    }
    // An upstream without a cold sign for `relearn_after` has reached its normal speed, even below the
    // ceiling.
    const bool settled = ramp_.warm() || now - ramp_.cold_since() >= model_.options().relearn_after;
    const auto which = settled ? first_token_learning::every : first_token_learning::faster_only;
    model_.learn(now, held.request.prefill, elapsed, which);
    if (verdict != first_token_verdict::cold) {
        credit(now, held);
    }
    count_first_token(now, verdict);
}

void permit_controller::count_first_token(instant now, first_token_verdict verdict)
{
    if (cold_signs_.count(now, verdict)) {
        handle_cold_sign(now);
    }
}

void permit_controller::credit(instant now, const entry& held)
{
    const bool refused_concurrently = last_capacity_refusal_ && *last_capacity_refusal_ >= held.granted;
    const work_cost peak = std::max(held.peak, outstanding_);
    ramp_.succeeded(now, {held.epoch, held.request.cost, peak, refused_concurrently, held.slowdown});
}

void permit_controller::done(instant now, lease_id lease, work_outcome outcome)
{
    advance(now);
    const auto found = permits_.find(lease);
    if (found == permits_.end()) {
        return;
    }
    entry& held = found->second;
    if (outcome == work_outcome::success && held.began && !held.measured) {
        measure(now, held);
    }
    const bool overloaded = outcome == work_outcome::overloaded;
    remove(found);
    if (overloaded) {
        handle_cold_sign(now);
    }
}

void permit_controller::report(instant now, const upstream_report& status)
{
    advance(now);
    const bool restarted = upstream_start_ && *upstream_start_ != status.start;
    upstream_start_ = status.start;
    if (restarted) {
        // A restarted upstream has lost its work, so all permits end.
        while (!permits_.empty()) {
            end(permits_.begin(), permit_end::upstream_started);
        }
        handle_cold_sign(now);
        return;
    }
    const bool stepped = load_step_.report(now, status.queued_prefill, status.age);
    if (status.cold || stepped) {
        handle_cold_sign(now);
    }
}

void permit_controller::handle_cold_sign(instant now)
{
    ramp_.reset_to_floor(now);
    load_step_.reset();
    cold_signs_.reset();
    if (outstanding_ > ramp_.allowed()) {
        end_unused(permit_end::turned_cold);
    }
}

void permit_controller::set_draining(instant now, bool draining)
{
    advance(now);
    if (draining_ == draining) {
        return;
    }
    draining_ = draining;
    if (!guard_holds(guard::drain)) {
        return;
    }
    if (draining_) {
        end_unused(permit_end::drained);
    }
    else {
        ramp_.reset_to_floor(now);
    }
}

void permit_controller::resize(instant now, work_cost floor, work_cost ceiling)
{
    advance(now);
    ramp_.resize(now, floor, ceiling);
}

void permit_controller::upstream_changed(instant now)
{
    advance(now);
    model_.reset();
    handle_cold_sign(now);
}

auto permit_controller::tick(instant now) -> std::vector<ended_permit>
{
    advance(now);
    find_overdue(now);
    return std::exchange(ended_, {});
}

void permit_controller::advance(instant now)
{
    // Guarded failure: this process was paused, and the renewals sent meanwhile are still in its socket
    // buffers. Expiring every lease at once would cancel healthy streams, so leases are extended by the
    // pause.
    if (last_call_ && now - *last_call_ > options_.pause_threshold) {
        const duration gap = now - *last_call_;
        for (auto& [lease, held] : permits_) {
            if (held.began && !held.orphaned) {
                set_until(lease, held, held.until + gap);
            }
        }
    }
    last_call_ = now;
    end_expired(now);
}

void permit_controller::end_expired(instant now)
{
    // Guarded failure: a gateway dies while it holds permits, and their capacity is lost for good.
    while (guard_holds(guard::lease_end) && !ends_.empty() && ends_.begin()->first <= now) {
        const auto found = permits_.find(ends_.begin()->second);
        if (!found->second.began) {
            end(found, permit_end::never_used);
            continue;
        }
        ends_.erase(ends_.begin());
        found->second.orphaned = true;
        ended_.push_back({found->first, found->second.request.gateway, permit_end::not_renewed, true});
    }
}

void permit_controller::find_overdue(instant now)
{
    // Guarded failure: an upstream that turned cold answers nothing at all, so no slow first token is
    // measured. An overdue first token counts as a cold one, once for each request.
    std::uint32_t overdue = 0;
    for (auto& [lease, held] : permits_) {
        if (!held.began || held.measured) {
            continue;
        }
        const double leniency = options_.leniency[index_of(held.request.size_class)];
        const auto limit = model_.overdue_after(held.request.prefill, leniency);
        if (limit && now - *held.began > *limit) {
            held.measured = true;
            ++overdue;
        }
    }
    for (; overdue > 0; --overdue) {
        count_first_token(now, first_token_verdict::cold);
    }
}

void permit_controller::set_until(lease_id lease, entry& held, instant until)
{
    ends_.erase({held.until, lease});
    held.until = until;
    ends_.emplace(until, lease);
}

void permit_controller::end(entries::iterator held, permit_end why)
{
    ended_.push_back({held->first, held->second.request.gateway, why, held->second.began.has_value()});
    remove(held);
}

void permit_controller::end_unused(permit_end why)
{
    for (auto next = permits_.begin(); next != permits_.end();) {
        const auto held = next++;
        if (!held->second.began) {
            end(held, why);
        }
    }
}

void permit_controller::remove(entries::iterator held)
{
    const permit_request& request = held->second.request;
    outstanding_ -= request.cost;
    outstanding_by_class_[index_of(request.size_class)] -= request.cost;
    DRAGONFLYMILL_ASSERT(outstanding_ >= 0, "released cost must not exceed the granted cost");
    ends_.erase({held->second.until, held->first});
    permits_.erase(held);
}

auto permit_controller::reserved_for(length_class size_class, work_cost allowed) const -> work_cost
{
    return static_cast<work_cost>(options_.reserved[index_of(size_class)] * static_cast<double>(allowed));
}

auto permit_controller::available_for(length_class size_class) const -> work_cost
{
    work_cost available = ramp_.allowed() - outstanding_;
    for (const length_class other : all_length_classes) {
        const work_cost unused =
            reserved_for(other, ramp_.allowed()) - outstanding_by_class_[index_of(other)];
        available -= other == size_class ? 0 : std::max<work_cost>(0, unused);
    }
    return available;
}

auto permit_controller::largest_cost(length_class size_class) const -> work_cost
{
    const work_cost ceiling = ramp_.options().ceiling;
    work_cost available = ceiling;
    for (const length_class other : all_length_classes) {
        available -= other == size_class ? 0 : reserved_for(other, ceiling);
    }
    return available;
}

auto permit_controller::refuse(instant now, const permit_request& request, refusal_code code) -> refusal
{
    // Nothing was sent to the upstream and a refusal carries no permit, so ran is certainly `no`.
    const bool permanent = code == refusal_code::too_large;
    const duration after = permanent ? duration::zero() : retry_after(now, request.gateway);
    return {code, ran_state::no, after, remedy_of(code)};
}

auto permit_controller::retry_after(instant now, const process_id& asker) -> duration
{
    if (now - refusal_window_ >= refusal_window) {
        const bool consecutive = now - refusal_window_ < 2 * refusal_window;
        refusals_before_ = consecutive ? refusals_in_window_ : 0;
        refusals_in_window_ = 0;
        refusal_window_ = now;
    }
    ++refusals_in_window_;
    const auto refusals = static_cast<duration::rep>(std::max(refusals_before_, refusals_in_window_));
    const duration spread =
        std::min(options_.retry_spread_per_refusal * refusals, options_.retry_spread_limit);
    // Salted with the window, so that two gateways with close hashes don't collide at every retry.
    const auto salt = seed_ + static_cast<std::uint64_t>(refusal_window_.time_since_epoch().count());
    const std::uint64_t hash = stable_hash(asker.text(), salt);
    const auto slots = static_cast<std::uint64_t>(std::max<duration::rep>(1, spread.count()));
    return options_.retry_base + duration(static_cast<duration::rep>(hash % slots));
}

auto permit_controller::load() const -> admission_load
{
    return {outstanding_, ramp_.allowed(), ramp_.options().ceiling, permits_.size(), draining_};
}

auto permit_controller::trusted_first_token_line() const -> std::optional<first_token_line>
{
    return model_.trusted() ? std::optional(model_.line()) : std::nullopt;
}

auto permit_controller::over_allowance() const -> std::vector<lease_id>
{
    std::vector<lease_id> chosen;
    work_cost left = outstanding_;
    for (auto c = all_length_classes.rbegin(); c != all_length_classes.rend(); ++c) {
        for (auto held = permits_.rbegin(); held != permits_.rend() && left > ramp_.allowed(); ++held) {
            if (held->second.request.size_class == *c && !held->second.orphaned) {
                chosen.push_back(held->first);
                left -= held->second.request.cost;
            }
        }
    }
    return chosen;
}

auto permit_controller::warm_up_cost(instant now) const -> work_cost
{
    const bool wanted = last_size_refusal_ && now - *last_size_refusal_ < warm_up_interest;
    if (!wanted || ramp_.warm() || outstanding_ > 0 || draining_) {
        return 0;
    }
    return available_for(length_class::interactive);
}

} // namespace dragonflymill
