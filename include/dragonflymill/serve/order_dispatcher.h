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
    upstream_id self;              ///< The upstream that the sidecar stands beside.
    order_tracker_options keeper;  ///< Times of the orders.
    duration answer_timeout = 60s; ///< An order without an answer for so long is given up.
    duration ask_interval = 2s;    ///< Between two rounds of questions to the other replicas.
    duration ask_limit = 1500ms;   ///< A replica that has not answered by then is not waited for.
    std::size_t max_group = 16;    ///< Replicas that heed each other at most.
};

/// The replicas of a model that heed each other when they load: all of them, or, when they are too many, one
/// of equal groups that are the same at every process. No group is of one replica unless the model has only
/// one.
[[nodiscard]] auto loading_group(const upstream_id& self, std::vector<sidecar_place> places,
                                 std::size_t max_group) -> std::vector<sidecar_place>;

/// Gives an engine the orders that bring it to what the bundle declares: feeds an order_tracker from the
/// bundle, the engine's reports and the other replicas' answers, which are asked only while a load or unload
/// is due.
///
/// A load counts as under way until the engine no longer lists it as loading. So a load of minutes is ordered
/// once, and one whose weights didn't come counts as failed.
/// Bounds: one order and one round of questions at a time, of at most `max_group` replicas.
class order_dispatcher
{
public:
    /// `seed` spreads the loads.
    order_dispatcher(const order_dispatcher_options& options, std::uint64_t seed);

    /// The bundle in force changed.
    void declared(instant now, const sidecar_input::declared_changed& input);
    /// The engine's word about itself.
    void engine_state_received(instant now, const sidecar_input::engine_reported& report);
    /// Another sidecar's answer.
    void answered(const sidecar_input::sidecar_answered& answer);
    /// How an order went; one that was given up meanwhile is ignored.
    void answered(instant now, const sidecar_input::order_answered& answer);
    /// Gives the next order if there is one to give; the sidecar's own lease runs until `own_lease`.
    void tick(instant now, instant own_lease, std::vector<sidecar_action>& actions);

    /// What the engine has loaded, for other sidecars.
    [[nodiscard]] auto models() const -> const std::vector<model_id>& { return models_; }
    /// What it is loading or about to load, for other sidecars.
    [[nodiscard]] auto loading() const -> std::vector<model_id>;
    /// Whether a later sidecar gives orders to this engine: this one gives none any more.
    [[nodiscard]] auto superseded() const -> bool { return keeper_.superseded(); }

private:
    struct given_order
    {
        std::uint64_t number = 0;
        engine_order order;
        instant sent;
        std::optional<instant> taken{};
    };
    struct replica_answer
    {
        bool ready = false;
        bool loading = false;
        bool draining = false;
    };
    struct question_round
    {
        model_id model;
        instant asked;
        std::map<upstream_id, std::optional<replica_answer>> others;
        bool told = false;
    };

    void end_order(instant now, order_result how);
    void look_at_load(instant now, const engine_view& view);
    [[nodiscard]] auto due_model() const -> std::optional<model_id>;
    [[nodiscard]] auto is_wanted(const model_id& model) const -> bool;
    void look_at_replicas(instant now, std::vector<sidecar_action>& actions);
    void ask_replicas(instant now, const model_id& model, std::vector<sidecar_action>& actions);
    void tell_replicas(instant now);

    order_dispatcher_options options_;
    order_tracker keeper_;
    std::optional<declared_engine> wanted_;
    std::vector<model_replicas> replicas_;
    std::vector<model_id> models_;
    std::vector<model_id> loading_;
    bool read_ = false;
    std::optional<given_order> given_;
    std::uint64_t orders_ = 0;
    std::optional<question_round> round_;
};

} // namespace dragonflymill
