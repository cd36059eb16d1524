#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Role of an engine.
enum class engine_role
{
    both,    ///< Prefill and decode.
    prefill, ///< Prefill only; the KV cache is exported.
    decode,  ///< Decode only; the KV cache is imported.
};

/// Settings of an order_tracker.
struct order_tracker_options
{
    std::uint32_t start_seconds = 0; ///< Wall clock time of the start in seconds; increases with each start.
    instant started;                 ///< Start on the monotonic clock.
    duration predecessor_lease = 4s; ///< Maximum time for which a predecessor may still send orders.
    duration reread_delay = 500ms;   ///< Delay after an order before the engine's state is used.
    duration answer_timeout = 60s;   ///< An order unanswered for longer fails and the engine is read again.
    duration load_jitter = 3s;       ///< Random delay of a load, to spread the loads of all replicas.
    duration retry_base = 1s;        ///< Initial backoff after a failed order.
    duration retry_limit = 60s;      ///< Maximum backoff after failed orders.
    double max_loading_fraction = 0.34; ///< Fraction of a model's replicas that may load concurrently.
    duration max_view_age = 15s;        ///< An older replica view is ignored.
    duration last_replica_wait = 120s;  ///< Maximum wait of a model's last replica for another to be ready.
};

/// State of an engine that the bundle declares.
struct declared_engine
{
    bundle_version version;           ///< Version of the bundle.
    std::vector<model_id> models;     ///< Models to be loaded.
    std::vector<adapter_id> adapters; ///< Adapters to be loaded.
    std::optional<engine_role> role;  ///< Role; nothing if any role is allowed.

    friend auto operator==(const declared_engine&, const declared_engine&) -> bool = default;
};

/// State that an engine reports.
struct engine_view
{
    instant asked;                        ///< When the state was requested.
    incarnation start;                    ///< Current incarnation of the engine.
    std::vector<model_id> models;         ///< Loaded models.
    std::vector<adapter_id> adapters;     ///< Loaded adapters.
    engine_role role = engine_role::both; ///< Current role.
    fencing_number fence;                 ///< Highest fencing number that the engine has received.

    friend auto operator==(const engine_view&, const engine_view&) -> bool = default;
};

/// State of the other replicas of a model.
struct replica_view
{
    instant seen;                     ///< When the view was built.
    std::uint32_t configured = 1;     ///< Replicas that the bundle declares, including this one.
    std::uint32_t ready_others = 0;   ///< Other replicas that have loaded the model.
    std::uint32_t loading_others = 0; ///< Other replicas that are loading the model.
    bool last_to_load = false; ///< Whether this replica is the one that loads last (see last_to_load()).

    friend auto operator==(const replica_view&, const replica_view&) -> bool = default;
};

/// Kind of an order.
enum class order_kind
{
    load_model,   ///< Load a model from the weight store.
    unload_model, ///< Free a model's memory.
    load_adapter, ///< Load an adapter.
    set_role,     ///< Change the role.
};

/// An idempotent order to the engine.
struct engine_order
{
    fencing_number fence; ///< Fencing number; engines reject orders of earlier sidecars by it.
    order_kind kind = order_kind::set_role; ///< Kind of the order.
    model_id model;                         ///< Model, for load_model and unload_model.
    adapter_id adapter;                     ///< Adapter, for load_adapter.
    engine_role role = engine_role::both;   ///< Role, for set_role.

    friend auto operator==(const engine_order&, const engine_order&) -> bool = default;
};

/// Why no order is sent now.
enum class order_wait
{
    in_force,       ///< The engine is in the declared state.
    no_bundle,      ///< No bundle is in force yet.
    no_view,        ///< The engine's state must be read (again) first.
    predecessor,    ///< A predecessor may still send orders.
    no_own_lease,   ///< The sidecar's own lease is not live.
    superseded,     ///< The engine has received the fencing number of a newer bundle or a later sidecar.
    answer,         ///< An order is in flight.
    backoff,        ///< An order failed; its backoff has not passed.
    spread,         ///< The random delay of the load has not passed.
    others_loading, ///< Too many replicas of the model are loading, or none would remain.
};

/// The next order, or why there is none.
using order_step = std::variant<engine_order, order_wait>;

/// Result of an order.
enum class order_result
{
    done,       ///< The engine executed it.
    fenced,     ///< The engine has received a higher fencing number.
    failed,     ///< It failed, or no answer was received.
    rate_limit, ///< The weight store denied a permit.
};

/// Returns whether `self` is the replica of `model` that loads last. All processes agree on it, so the
/// replicas do not all load at once even if they receive no state from each other.
[[nodiscard]] auto last_to_load(const upstream_id& self, const model_id& model,
                                const std::vector<upstream_id>& replicas) -> bool;

/// Reconciles an engine with the state that the bundle declares, one idempotent order at a time. The engine's
/// state is read again after each order.
///
/// Guards against a paused sidecar that resumes beside its successor and reverts the successor's orders.
/// Engines that support fencing reject its fencing number. For engines that ignore it, the successor waits
/// until the old lease has expired before its first order, and every sidecar checks its own lease just before
/// each order.
///
/// Invariants: no order is sent without a live lease; the fencing number never decreases.
///
/// Bounds: one order in flight; one replica view per declared or loaded model.
class order_tracker
{
public:
    /// Starts without any state. `seed` determines the random delays.
    order_tracker(order_tracker_options options, std::uint64_t seed);

    /// Sets the declared state; ignored unless its version is newer.
    void declare(instant now, declared_engine wanted);
    /// Sets the state that the engine reported.
    void engine_state_received(const engine_view& view);
    /// Sets the state of the other replicas of a model.
    void replicas(const model_id& model, replica_view view);
    /// Sets the end of the sidecar's own lease (see own_lease).
    void renew_own_lease(instant until) { own_lease_ = until; }

    /// Returns the next order, or why there is none now.
    [[nodiscard]] auto next(instant now) -> order_step;
    /// Must be called just before an order is sent; checks all conditions again. On false it must not be
    /// sent.
    [[nodiscard]] auto sending(instant now, const engine_order& order) -> bool;
    /// Records the result of the order in flight.
    void answered(instant now, order_result how);

    /// Fencing number of the next order.
    [[nodiscard]] auto fence() const -> fencing_number { return fence_; }
    /// Whether this sidecar has been superseded and must not send orders.
    [[nodiscard]] auto superseded() const -> bool { return superseded_; }
    /// Whether the engine has shown that it supports fencing numbers.
    [[nodiscard]] auto engine_fences() const -> bool { return engine_fences_; }

private:
    [[nodiscard]] auto blocking_reason(instant now) -> std::optional<order_wait>;
    [[nodiscard]] auto difference() const -> std::optional<engine_order>;
    [[nodiscard]] auto load_blocking_reason(instant now, const model_id& model) -> std::optional<order_wait>;
    [[nodiscard]] auto unload_blocking_reason(instant now, const model_id& model)
        -> std::optional<order_wait>;
    [[nodiscard]] auto holds_own_lease(instant now) const -> bool;
    [[nodiscard]] auto concerns(const model_id& model) const -> bool;
    [[nodiscard]] auto fresh_view(instant now, const model_id& model) const -> std::optional<replica_view>;
    void raise_fence();
    void fail(instant now);

    order_tracker_options options_;
    random_source random_;
    std::optional<declared_engine> wanted_;
    std::optional<engine_view> view_;
    std::map<model_id, replica_view> replicas_;
    std::optional<instant> own_lease_;
    fencing_number fence_;
    std::optional<engine_order> in_flight_;
    instant sent_;
    instant view_valid_from_;
    instant backoff_until_;
    std::optional<instant> load_not_before_;
    std::optional<instant> waiting_since_;
    std::uint32_t failures_ = 0;
    bool ordered_ = false;
    bool superseded_ = false;
    bool engine_fences_ = false;
};

} // namespace dragonflymill
