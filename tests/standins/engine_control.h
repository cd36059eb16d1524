#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// An order that changes what an engine serves.
struct control_order
{
    std::uint64_t fence = 0; ///< Fencing number.
    std::string kind;        ///< load_model, unload_model, load_adapter or set_role.
    std::string model;       ///< Model of load_model and unload_model.
    std::string adapter;     ///< Adapter of load_adapter.
    std::string role;        ///< Role of set_role.
};

/// Models, adapters and role of an engine, and the orders that change them. Loads take time; orders with a
/// stale fencing number are refused if the engine honours fencing.
class engine_control
{
public:
    /// Starts with `models` loaded. A model takes `order_time` to load, an adapter a tenth of it.
    engine_control(std::vector<std::string> models, duration order_time, bool honours_fence);

    /// Applies or starts an order at `now`. Returns the HTTP status: 200, or 409 for a stale fencing number.
    [[nodiscard]] auto give(instant now, const control_order& order) -> unsigned;
    /// Completes the loads that are due by `now`.
    void advance(instant now);
    /// Completion time of the next load; nullopt without a running load.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// Aborts the load of a model, as when fetching its weights failed.
    void fail_load(const std::string& model);
    /// Resets to the initial models, role and fencing number. The list of carried out orders is kept.
    void restart();

    /// Whether the model and the adapter (empty for none) are loaded.
    [[nodiscard]] auto serves(const std::string& model, const std::string& adapter) const -> bool;
    /// Highest fencing number received; stays 0 if the engine doesn't honour fencing.
    [[nodiscard]] auto fence() const -> std::uint64_t { return fence_; }
    /// Role of the engine: both, prefill or decode.
    [[nodiscard]] auto role() const -> const std::string& { return role_; }
    [[nodiscard]] auto models() const -> const std::vector<std::string>& { return models_; }
    /// Models that are being loaded.
    [[nodiscard]] auto loading() const -> std::vector<std::string>;
    [[nodiscard]] auto adapters() const -> const std::vector<std::string>& { return adapters_; }
    /// Orders that were not refused, in order of receipt.
    [[nodiscard]] auto carried_out() const -> const std::vector<control_order>& { return carried_out_; }

private:
    struct running_load
    {
        instant done;
        control_order order;
    };

    void apply(const control_order& order);

    std::vector<std::string> first_models_;
    duration order_time_;
    bool honours_fence_;
    std::vector<std::string> models_;
    std::vector<std::string> adapters_;
    std::vector<running_load> loads_;
    std::vector<control_order> carried_out_;
    std::string role_ = "both";
    std::uint64_t fence_ = 0;
};

} // namespace dragonflymill::standins
