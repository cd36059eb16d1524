#include "dragonflymill/order/order_tracker.h"

#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {
namespace {

/// Bits of a fencing number that hold the sidecar's start; the bundle's version stands above them.
constexpr std::uint32_t start_bits = 32;
/// Doublings after which the wait after failed orders has reached its longest in any case.
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
auto contains(const std::vector<Id>& all, const Id& one) -> bool
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

template <typename Id>
auto first_missing(const std::vector<Id>& wanted, const std::vector<Id>& present) -> std::optional<Id>
{
    for (const Id& one : wanted) {
        if (!contains(present, one)) {
            return one;
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
    , believe_from_(options.started)
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
    load_turn_.reset();
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
    // A higher number after an order of ours was given by a later sidecar: this one is over. Before our first
    // order it is a predecessor's, whose start number was higher because a clock was wrong; it is waited out
    // like any predecessor, and then outbid. A newer bundle's number is never outbid: ours has to come first.
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
    const bool fresh = known != replicas_.end() && now - known->second.seen <= options_.longest_view_age;
    return fresh ? std::optional(known->second) : std::nullopt;
}

auto order_tracker::holds_own_lease(instant now) const -> bool
{
    return own_lease_ && now < *own_lease_;
}

auto order_tracker::hindered(instant now) -> std::optional<order_wait>
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
    if (on_its_way_ && now - sent_ < options_.answer_timeout) {
        return order_wait::answer;
    }
    if (on_its_way_) {
        answered(now, order_result::failed);
    }
    // After an order, done or not, only a look taken later tells what the engine is now.
    if (!view_ || view_->asked < believe_from_) {
        return order_wait::no_view;
    }
    if (version_of(view_->fence) > wanted_->version.value()) {
        return order_wait::superseded;
    }
    return now < backoff_until_ ? std::optional(order_wait::backoff) : std::nullopt;
}

auto order_tracker::next(instant now) -> order_step
{
    if (const auto reason = hindered(now)) {
        return *reason;
    }
    const auto order = difference();
    if (!order) {
        return order_wait::in_force;
    }
    std::optional<order_wait> reason;
    if (order->kind == order_kind::load_model) {
        reason = load_hindered(now, order->model);
    }
    if (order->kind == order_kind::unload_model) {
        reason = unload_hindered(now, order->model);
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
    // Models that are wanted no more go first: their memory is needed for the new ones.
    if (const auto model = first_missing(view_->models, wanted_->models)) {
        order.kind = order_kind::unload_model;
        order.model = *model;
        return order;
    }
    if (const auto model = first_missing(wanted_->models, view_->models)) {
        order.kind = order_kind::load_model;
        order.model = *model;
        return order;
    }
    if (const auto adapter = first_missing(wanted_->adapters, view_->adapters)) {
        order.kind = order_kind::load_adapter;
        order.adapter = *adapter;
        return order;
    }
    return std::nullopt;
}

auto order_tracker::load_hindered(instant now, const model_id& model) -> std::optional<order_wait>
{
    waiting_since_ = waiting_since_.value_or(now);
    if (!load_turn_) {
        const auto spread = static_cast<std::uint64_t>(options_.load_jitter.count());
        load_turn_ = now + duration(static_cast<duration::rep>(random_.below(spread + 1)));
    }
    if (now < *load_turn_) {
        return order_wait::spread;
    }
    const auto view = fresh_view(now, model);
    const bool patient = now - *waiting_since_ < options_.keeper_patience;
    if (!view) {
        return patient ? std::optional(order_wait::others_loading) : std::nullopt;
    }
    if (view->configured <= 1) {
        return std::nullopt;
    }
    const auto share = static_cast<std::uint32_t>(options_.loading_share * view->configured);
    const bool too_many = view->loading_others + 1 > std::max(1U, share);
    // Guarded failure: views lag, all replicas see that none is loading, and all load at once. The one that
    // loads last waits until another is ready, whatever the views say.
    const bool waits_for_another = view->last_to_load && view->ready_others == 0 && patient;
    if (too_many || waits_for_another) {
        return order_wait::others_loading;
    }
    return std::nullopt;
}

auto order_tracker::unload_hindered(instant now, const model_id& model) -> std::optional<order_wait>
{
    waiting_since_ = waiting_since_.value_or(now);
    // Still wanted elsewhere: not before another replica can take its requests. Without word from the others
    // it is kept for a while, since that costs memory only.
    const auto view = fresh_view(now, model);
    const bool patient = now - *waiting_since_ < options_.keeper_patience;
    const bool covered = view && (view->configured == 0 || view->ready_others > 0);
    return !covered && patient ? std::optional(order_wait::others_loading) : std::nullopt;
}

auto order_tracker::sending(instant now, const engine_order& order) -> bool
{
    const order_step step = next(now);
    if (!std::holds_alternative<engine_order>(step) || std::get<engine_order>(step) != order) {
        return false;
    }
    DRAGONFLYMILL_ASSERT(!guard_holds(guard::fencing) || holds_own_lease(now),
                         "an order needs the own live lease");
    on_its_way_ = order;
    sent_ = now;
    ordered_ = true;
    return true;
}

void order_tracker::answered(instant now, order_result how)
{
    if (!on_its_way_) {
        return;
    }
    on_its_way_.reset();
    believe_from_ = now + options_.reread_delay;
    load_turn_.reset();
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
