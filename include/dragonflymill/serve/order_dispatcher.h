#pragma once

#include "dragonflymill/order/order_tracker.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Settings of an order_dispatcher.
struct order_dispatcher_options
{
    upstream_id self;                ///< Upstream that the sidecar serves.
    order_tracker_options tracker;   ///< Timing of orders.
    duration answer_timeout = 60s;   ///< Time after which an unanswered order counts as failed.
    duration poll_interval = 2s;     ///< Interval between two polls of the other replicas.
    duration poll_timeout = 1500ms;  ///< Time to wait for the answers of a poll.
    std::size_t max_group_size = 16; ///< Maximum number of replicas that coordinate their loads.
};

/// Returns the replicas of a model that coordinate their loads with `self`: all of them, or one of several
/// groups of nearly equal size if there are more than the maximum. Every process computes the same groups. A
/// group has one replica only if the model has one.
[[nodiscard]] auto loading_group(const upstream_id& self, std::vector<sidecar_endpoint> endpoints,
                                 std::size_t max_group_size) -> std::vector<sidecar_endpoint>;

/// Sends an engine the orders that bring it to the state declared in the bundle. It feeds an order_tracker
/// with the bundle, the engine's reports and the answers of other replicas, which are polled only while a
/// load or unload is due.
///
/// A load counts as in progress until the engine no longer lists it as loading. So a load that takes minutes
/// is ordered once, and one whose weights could not be fetched counts as failed. Bounds: one order and one
/// poll at a time, of at most `max_group_size` replicas.
class order_dispatcher
{
public:
    /// `seed` sets the jitter of the loads.
    order_dispatcher(const order_dispatcher_options& options, std::uint64_t seed);

    /// Handles a change of the bundle in force.
    void declared(instant now, const sidecar_input::declared_changed& input);
    /// Handles a report of the engine.
    void engine_state_received(instant now, const sidecar_input::engine_reported& report);
    /// Handles the answer of another sidecar; answers to an earlier poll are ignored.
    void answered(const sidecar_input::sidecar_answered& answer);
    /// Handles the result of an order; the result of an order that has timed out is ignored.
    void answered(instant now, const sidecar_input::order_answered& answer);
    /// Sends the next order if one is due. The sidecar's own lease is valid until `own_lease`.
    void tick(instant now, instant own_lease, std::vector<sidecar_action>& actions);

    /// Returns the models that the engine has loaded, for other sidecars.
    [[nodiscard]] auto models() const -> const std::vector<model_id>& { return models_; }
    /// Returns the models that the engine is loading or was ordered to load, for other sidecars.
    [[nodiscard]] auto loading() const -> std::vector<model_id>;
    /// Returns whether a later sidecar sends orders to this engine; this one then sends none.
    [[nodiscard]] auto superseded() const -> bool { return tracker_.superseded(); }

private:
    struct sent_order
    {
        std::uint64_t number = 0;
        engine_order order;
        instant sent_at;
        std::optional<instant> accepted_at{};
    };
    struct replica_answer
    {
        bool ready = false;
        bool loading = false;
        bool draining = false;
    };
    struct replica_poll
    {
        model_id model;
        instant asked;
        std::map<upstream_id, std::optional<replica_answer>> others;
        bool reported = false;
    };

    void end_order(instant now, order_result how);
    void check_load_finished(instant now, const engine_view& view);
    [[nodiscard]] auto due_model() const -> std::optional<model_id>;
    [[nodiscard]] auto is_wanted(const model_id& model) const -> bool;
    void poll_replicas_if_due(instant now, std::vector<sidecar_action>& actions);
    void poll_replicas(instant now, const model_id& model, std::vector<sidecar_action>& actions);
    void report_replicas(instant now);

    order_dispatcher_options options_;
    order_tracker tracker_;
    std::optional<declared_engine> wanted_;
    std::vector<model_replicas> replicas_;
    std::vector<model_id> models_;
    std::vector<model_id> loading_;
    bool has_report_ = false;
    std::optional<sent_order> sent_order_;
    std::uint64_t order_count_ = 0;
    std::optional<replica_poll> poll_;
};

} // namespace dragonflymill
