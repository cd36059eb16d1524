#include "dragonflymill/order/order_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {
namespace {

/// Low bits of a fencing number, which hold the sidecar's start; the bundle's version is stored above them.
constexpr std::uint32_t start_bits = 32;
/// Doublings after which the backoff has reached its maximum in any case.
constexpr std::uint32_t max_doublings = 8;

auto fence_of(bundle_version version, std::uint32_t start_seconds) -> fencing_number
{
    return fencing_number((version.value() << start_bits) | start_seconds);
}

auto version_of(fencing_number fence) -> std::uint64_t
{
    return fence.value() >> start_bits;
}

template <typename Id>
auto contains(const std::vector<Id>& all, const Id& candidate) -> bool
{
    return std::find(all.begin(), all.end(), candidate) != all.end();
}

template <typename Id>
auto first_not_in(const std::vector<Id>& wanted, const std::vector<Id>& present) -> std::optional<Id>
{
    for (const Id& candidate : wanted) {
        if (!contains(present, candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace

auto last_to_load(const upstream_id& self, const model_id& model, const std::vector<upstream_id>& replicas)
    -> bool
{
    const std::uint64_t key = stable_hash(model.text());
    const std::uint64_t own = rendezvous_score(key, self.text());
    return std::all_of(replicas.begin(), replicas.end(), [&](const upstream_id& other) {
        const std::uint64_t score = rendezvous_score(key, other.text());
        return score < own || (score == own && other <= self);
    });
}

order_tracker::order_tracker(order_tracker_options options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
    , sent_(options.started)
    , view_valid_from_(options.started)
    , backoff_until_(options.started)
{
}

void order_tracker::declare(instant now, declared_engine wanted)
{
    if (wanted_ && wanted.version <= wanted_->version) {
        return;
    }
    wanted_ = std::move(wanted);
    std::erase_if(replicas_, [&](const auto& known) { return !concerns(known.first); });
    load_not_before_.reset();
    waiting_since_.reset();
    failures_ = 0;
    backoff_until_ = now;
    raise_fence();
}

void order_tracker::raise_fence()
{
    fence_ = std::max(fence_, fence_of(wanted_->version, options_.start_seconds));
}

void order_tracker::engine_state_received(const engine_view& view)
{
    if (view_ && view.asked < view_->asked) {
        return;
    }
    view_ = view;
    engine_fences_ = engine_fences_ || (ordered_ && view.fence == fence_);
    if (!wanted_ || view.fence <= fence_) {
        return;
    }
    // A higher number after this sidecar's first order belongs to a later sidecar, so this one is superseded.
    // Before its first order it belongs to a predecessor whose start number was higher because of a wrong
    // clock: after the wait for the predecessor's lease, this sidecar uses a higher number. The number of a
    // newer bundle is never exceeded; this sidecar must receive that bundle first.
    superseded_ = superseded_ || ordered_;
    if (!superseded_ && version_of(view.fence) <= wanted_->version.value()) {
        fence_ = fencing_number(view.fence.value() + 1);
    }
}

auto order_tracker::concerns(const model_id& model) const -> bool
{
    const bool declared = wanted_ && contains(wanted_->models, model);
    return declared || (view_ && contains(view_->models, model));
}

void order_tracker::replicas(const model_id& model, replica_view view)
{
    std::erase_if(replicas_, [&](const auto& known) { return !concerns(known.first); });
    if (concerns(model)) {
        replicas_[model] = view;
    }
}

auto order_tracker::fresh_view(instant now, const model_id& model) const -> std::optional<replica_view>
{
    const auto known = replicas_.find(model);
    const bool fresh = known != replicas_.end() && now - known->second.seen <= options_.max_view_age;
    return fresh ? std::optional(known->second) : std::nullopt;
}

auto order_tracker::holds_own_lease(instant now) const -> bool
{
    return own_lease_ && now < *own_lease_;
}

auto order_tracker::blocking_reason(instant now) -> std::optional<order_wait>
{
    if (!wanted_) {
        return order_wait::no_bundle;
    }
    if (guard_holds(guard::fencing) && superseded_) {
        return order_wait::superseded;
    }
    if (guard_holds(guard::fencing) && now < options_.started + options_.predecessor_lease) {
        return order_wait::predecessor;
    }
    if (guard_holds(guard::fencing) && !holds_own_lease(now)) {
        return order_wait::no_own_lease;
    }
    if (in_flight_ && now - sent_ < options_.answer_timeout) {
        return order_wait::answer;
    }
    if (in_flight_) {
        answered(now, order_result::failed);
    }
    // After an order, successful or not, only a state requested later is current.
    if (!view_ || view_->asked < view_valid_from_) {
        return order_wait::no_view;
    }
    if (version_of(view_->fence) > wanted_->version.value()) {
        return order_wait::superseded;
    }
    return now < backoff_until_ ? std::optional(order_wait::backoff) : std::nullopt;
}

auto order_tracker::next(instant now) -> order_step
{
    if (const auto reason = blocking_reason(now)) {
        return *reason;
    }
    const auto order = difference();
    if (!order) {
        return order_wait::in_force;
    }
    std::optional<order_wait> reason;
    if (order->kind == order_kind::load_model) {
        reason = load_blocking_reason(now, order->model);
    }
    if (order->kind == order_kind::unload_model) {
        reason = unload_blocking_reason(now, order->model);
    }
    if (reason) {
        return *reason;
    }
    return *order;
}

auto order_tracker::difference() const -> std::optional<engine_order>
{
    engine_order order;
    order.fence = fence_;
    if (wanted_->role && *wanted_->role != view_->role) {
        order.kind = order_kind::set_role;
        order.role = *wanted_->role;
        return order;
    }
    // Models that are no longer declared are unloaded first, because the new ones need their memory.
    if (const auto model = first_not_in(view_->models, wanted_->models)) {
        order.kind = order_kind::unload_model;
        order.model = *model;
        return order;
    }
    if (const auto model = first_not_in(wanted_->models, view_->models)) {
        order.kind = order_kind::load_model;
        order.model = *model;
        return order;
    }
    if (const auto adapter = first_not_in(wanted_->adapters, view_->adapters)) {
        order.kind = order_kind::load_adapter;
        order.adapter = *adapter;
        return order;
    }
    return std::nullopt;
}

auto order_tracker::load_blocking_reason(instant now, const model_id& model) -> std::optional<order_wait>
{
    waiting_since_ = waiting_since_.value_or(now);
    if (!load_not_before_) {
        const auto spread = static_cast<std::uint64_t>(options_.load_jitter.count());
        load_not_before_ = now + duration(static_cast<duration::rep>(random_.below(spread + 1)));
    }
    if (now < *load_not_before_) {
        return order_wait::spread;
    }
    const auto view = fresh_view(now, model);
    const bool may_wait = now - *waiting_since_ < options_.last_replica_wait;
    if (!view) {
        return may_wait ? std::optional(order_wait::others_loading) : std::nullopt;
    }
    if (view->configured <= 1) {
        return std::nullopt;
    }
    const auto share = static_cast<std::uint32_t>(options_.max_loading_fraction * view->configured);
    const bool too_many = view->loading_others + 1 > std::max(1U, share);
    // Guards against all replicas loading at once because their views lag and show none loading: the replica
    // that loads last waits until another is ready, regardless of the views.
    const bool must_wait_for_another = view->last_to_load && view->ready_others == 0 && may_wait;
    if (too_many || must_wait_for_another) {
        return order_wait::others_loading;
    }
    return std::nullopt;
}

auto order_tracker::unload_blocking_reason(instant now, const model_id& model) -> std::optional<order_wait>
{
    waiting_since_ = waiting_since_.value_or(now);
    // A model that is still declared elsewhere is unloaded only when another replica can serve its requests.
    // Without state from the others it is kept for `last_replica_wait`, which costs only memory.
    const auto view = fresh_view(now, model);
    const bool may_wait = now - *waiting_since_ < options_.last_replica_wait;
    const bool covered = view && (view->configured == 0 || view->ready_others > 0);
    return !covered && may_wait ? std::optional(order_wait::others_loading) : std::nullopt;
}

auto order_tracker::sending(instant now, const engine_order& order) -> bool
{
    const order_step step = next(now);
    if (!std::holds_alternative<engine_order>(step) || std::get<engine_order>(step) != order) {
        return false;
    }
    DRAGONFLYMILL_ASSERT(!guard_holds(guard::fencing) || holds_own_lease(now),
                         "an order requires a live lease");
    in_flight_ = order;
    sent_ = now;
    ordered_ = true;
    return true;
}

void order_tracker::answered(instant now, order_result how)
{
    if (!in_flight_) {
        return;
    }
    in_flight_.reset();
    view_valid_from_ = now + options_.reread_delay;
    load_not_before_.reset();
    if (how == order_result::done) {
        failures_ = 0;
        waiting_since_.reset();
        return;
    }
    superseded_ = superseded_ || how == order_result::fenced;
    fail(now);
}

void order_tracker::fail(instant now)
{
    const duration longest =
        std::min(options_.retry_base * (1U << std::min(failures_, max_doublings)), options_.retry_limit);
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    backoff_until_ = now + longest / 2 + duration(static_cast<duration::rep>(random_.below(half + 1)));
    ++failures_;
}

} // namespace dragonflymill
