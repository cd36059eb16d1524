#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// An order to change what an engine serves.
struct control_order
{
    std::uint64_t fence = 0; ///< Fencing number.
    std::string kind;        ///< load_model, unload_model, load_adapter or set_role.
    std::string model;       ///< For the first two.
    std::string adapter;     ///< For load_adapter.
    std::string role;        ///< For set_role.
};

/// What an engine serves, and the orders that change it: loads take time, old fencing numbers are refused or
/// not.
class engine_control
{
public:
    /// Starts with these models. A model takes `order_time` to load, an adapter a tenth of it.
    engine_control(std::vector<std::string> models, duration order_time, bool honours_fence);

    /// Takes an order at `now`: status of the answer.
    [[nodiscard]] auto give(instant now, const control_order& order) -> unsigned;
    /// Ends the loads that are done at `now`.
    void advance(instant now);
    /// When the next load is done; nothing if none runs.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;
    /// The weights of a model that is being loaded didn't come: the order has no effect.
    void fail_load(const std::string& model);
    /// Back to what it started with; only the list of orders stays.
    void restart();

    /// Whether a completion with this model and adapter (empty for none) can be served.
    [[nodiscard]] auto serves(const std::string& model, const std::string& adapter) const -> bool;
    /// Highest fencing number it reports; 0 for ever if it doesn't honour them.
    [[nodiscard]] auto fence() const -> std::uint64_t { return fence_; }
    /// Its role: both, prefill or decode.
    [[nodiscard]] auto role() const -> const std::string& { return role_; }
    /// Loaded models.
    [[nodiscard]] auto models() const -> const std::vector<std::string>& { return models_; }
    /// Models that are being loaded.
    [[nodiscard]] auto loading() const -> std::vector<std::string>;
    /// Loaded adapters.
    [[nodiscard]] auto adapters() const -> const std::vector<std::string>& { return adapters_; }
    /// Orders that it carried out, in order.
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
