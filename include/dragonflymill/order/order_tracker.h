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

/// What an engine is for.
enum class engine_role
{
    both,    ///< Prefill and decode.
    prefill, ///< Prefill only; its KV cache is exported.
    decode,  ///< Decode only; KV cache is imported.
};

/// Settings of an order_tracker.
struct order_tracker_options
{
    std::uint32_t start_seconds = 0; ///< Civil time of the start, in seconds: rises from start to start.
    instant started;                 ///< When it started.
    duration predecessor_lease = 4s; ///< How long a predecessor may still give orders.
    duration reread_delay = 500ms;   ///< Wait after an order before the engine's state is believed.
    duration answer_timeout = 60s;   ///< An order without an answer for so long is given up and read again.
    duration load_jitter = 3s;       ///< Loads begin within this time, so that they don't come together.
    duration retry_base = 1s;        ///< First wait after a failed order.
    duration retry_limit = 60s;      ///< Longest wait after failed orders.
    double loading_share = 0.34;     ///< Share of a model's replicas that may load at a time.
    duration longest_view_age = 15s; ///< A replica view older than this counts for nothing.
    duration keeper_patience = 120s; ///< How long a model's last replica waits for another to be ready.
};

/// What the bundle wants an engine to be.
struct declared_engine
{
    bundle_version version;           ///< The bundle's version.
    std::vector<model_id> models;     ///< Models to have loaded.
    std::vector<adapter_id> adapters; ///< Adapters to have loaded.
    std::optional<engine_role> role;  ///< Its role; nothing if it may be any.

    friend auto operator==(const declared_engine&, const declared_engine&) -> bool = default;
};

/// What an engine says it is.
struct engine_view
{
    instant asked;                        ///< When it was asked.
    incarnation start;                    ///< Number of its present start.
    std::vector<model_id> models;         ///< Models loaded.
    std::vector<adapter_id> adapters;     ///< Adapters loaded.
    engine_role role = engine_role::both; ///< Its role.
    fencing_number fence;                 ///< Highest fencing number that it has seen.

    friend auto operator==(const engine_view&, const engine_view&) -> bool = default;
};

/// What is known of the other replicas of a model.
struct replica_view
{
    instant seen;                     ///< When it was put together.
    std::uint32_t configured = 1;     ///< Replicas that the bundle wants, this one included.
    std::uint32_t ready_others = 0;   ///< Others that have it loaded.
    std::uint32_t loading_others = 0; ///< Others that are loading it.
    bool last_to_load = false; ///< Whether this replica is the one that loads last (see last_to_load()).

    friend auto operator==(const replica_view&, const replica_view&) -> bool = default;
};

/// Kinds of order.
enum class order_kind
{
    load_model,   ///< Load a model from the weight store.
    unload_model, ///< Free a model's memory.
    load_adapter, ///< Load an adapter.
    set_role,     ///< Change the role.
};

/// An order to give to the engine. Giving it twice does no harm.
struct engine_order
{
    fencing_number fence;                   ///< The number that fences off earlier sidecars.
    order_kind kind = order_kind::set_role; ///< What to do.
    model_id model;                         ///< The model, for load_model and unload_model.
    adapter_id adapter;                     ///< The adapter, for load_adapter.
    engine_role role = engine_role::both;   ///< The role, for set_role.

    friend auto operator==(const engine_order&, const engine_order&) -> bool = default;
};

/// Why no order is given now.
enum class order_wait
{
    in_force,       ///< The engine is what the bundle wants.
    no_bundle,      ///< No bundle is in force yet.
    no_view,        ///< The engine's state has to be read (again) first.
    predecessor,    ///< A predecessor may still give orders.
    no_own_lease,   ///< The own lease doesn't run.
    superseded,     ///< The engine has seen a number of a newer bundle or a later sidecar.
    answer,         ///< An order is on its way.
    backoff,        ///< An order failed a moment ago.
    spread,         ///< Its turn to load has not come.
    others_loading, ///< Too many replicas of the model are loading, or none would be left.
};

/// What to do next.
using order_step = std::variant<engine_order, order_wait>;

/// How an order went.
enum class order_result
{
    done,       ///< The engine took it.
    fenced,     ///< The engine has seen a higher number.
    failed,     ///< It failed, or no answer came.
    rate_limit, ///< The weight store gave no permit.
};

/// Whether `self` is the replica of `model` that loads last: one and the same at every process, so that even
/// with no word from the others not all replicas load at once.
[[nodiscard]] auto last_to_load(const upstream_id& self, const model_id& model,
                                const std::vector<upstream_id>& replicas) -> bool;

/// Brings an engine from what it is to what the bundle declares, one idempotent order at a time, each
/// followed by a fresh look at the engine.
///
/// Guarded failure: an old sidecar, paused and awake again beside its successor, undoes the successor's
/// orders. Engines that honour fencing refuse its number. For those that ignore it, the successor waits out
/// the old one's lease before its first order and every sidecar looks at its own lease just before each one.
/// Invariant: no order without the own live lease; the fencing number never falls.
/// Bounds: one order on its way; one replica view for each model that is declared or loaded.
class order_tracker
{
public:
    /// Knows nothing yet. `seed` spreads the loads.
    order_tracker(order_tracker_options options, std::uint64_t seed);

    /// The bundle's word; an older version than before is ignored.
    void declare(instant now, declared_engine wanted);
    /// The engine's word about itself.
    void engine_state_received(const engine_view& view);
    /// Word about the other replicas of a declared model.
    void replicas(const model_id& model, replica_view view);
    /// Until when the sidecar's own lease runs (see own_lease).
    void renew_own_lease(instant until) { own_lease_ = until; }

    /// The next order, or why there is none now.
    [[nodiscard]] auto next(instant now) -> order_step;
    /// The order is about to be sent: looks at everything again; on false it must not be sent.
    [[nodiscard]] auto sending(instant now, const engine_order& order) -> bool;
    /// How the order on its way went.
    void answered(instant now, order_result how);

    /// The number that the next order would carry.
    [[nodiscard]] auto fence() const -> fencing_number { return fence_; }
    /// Whether this sidecar has seen that it is no longer the one to give orders.
    [[nodiscard]] auto superseded() const -> bool { return superseded_; }
    /// Whether the engine has been seen to take note of fencing numbers.
    [[nodiscard]] auto engine_fences() const -> bool { return engine_fences_; }

private:
    [[nodiscard]] auto hindered(instant now) -> std::optional<order_wait>;
    [[nodiscard]] auto difference() const -> std::optional<engine_order>;
    [[nodiscard]] auto load_hindered(instant now, const model_id& model) -> std::optional<order_wait>;
    [[nodiscard]] auto unload_hindered(instant now, const model_id& model) -> std::optional<order_wait>;
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
    std::optional<engine_order> on_its_way_;
    instant sent_;
    instant believe_from_;
    instant backoff_until_;
    std::optional<instant> load_turn_;
    std::optional<instant> waiting_since_;
    std::uint32_t failures_ = 0;
    bool ordered_ = false;
    bool superseded_ = false;
    bool engine_fences_ = false;
};

} // namespace dragonflymill
