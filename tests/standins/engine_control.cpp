#include "standins/engine_control.h"

#include <algorithm>

namespace dragonflymill::standins {

namespace {

auto contains(const std::vector<std::string>& items, const std::string& item) -> bool
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

engine_control::engine_control(std::vector<std::string> models, duration order_time, bool honours_fence)
    : first_models_(std::move(models))
    , order_time_(order_time)
    , honours_fence_(honours_fence)
    , models_(first_models_)
{
}

auto engine_control::give(instant now, const control_order& order) -> unsigned
{
    constexpr unsigned accepted = 200;
    constexpr unsigned stale_fence = 409;
    if (honours_fence_) {
        if (order.fence < fence_) {
            return stale_fence;
        }
        fence_ = order.fence;
    }
    carried_out_.push_back(order);
    if (order.kind == "load_model") {
        if (!contains(models_, order.model) && !contains(loading(), order.model)) {
            loads_.push_back({now + order_time_, order});
        }
    }
    else if (order.kind == "load_adapter") {
        loads_.push_back({now + order_time_ / 10, order});
    }
    else {
        apply(order);
    }
    return accepted;
}

void engine_control::advance(instant now)
{
    for (auto it = loads_.begin(); it != loads_.end();) {
        if (it->done > now) {
            ++it;
            continue;
        }
        const auto order = it->order;
        it = loads_.erase(it);
        apply(order);
    }
}

auto engine_control::next_wake() const -> std::optional<instant>
{
    std::optional<instant> out;
    for (const auto& load : loads_) {
        out = out ? std::min(*out, load.done) : load.done;
    }
    return out;
}

void engine_control::fail_load(const std::string& model)
{
    const auto is_load = [&model](const auto& load) {
        return load.order.kind == "load_model" && load.order.model == model;
    };
    loads_.erase(std::remove_if(loads_.begin(), loads_.end(), is_load), loads_.end());
}

void engine_control::restart()
{
    models_ = first_models_;
    adapters_.clear();
    loads_.clear();
    role_ = "both";
    fence_ = 0;
}

auto engine_control::serves(const std::string& model, const std::string& adapter) const -> bool
{
    return contains(models_, model) && (adapter.empty() || contains(adapters_, adapter));
}

auto engine_control::loading() const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (const auto& load : loads_) {
        if (load.order.kind == "load_model") {
            out.push_back(load.order.model);
        }
    }
    return out;
}

void engine_control::apply(const control_order& order)
{
    if (order.kind == "load_model") {
        models_.push_back(order.model);
    }
    else if (order.kind == "unload_model") {
        fail_load(order.model);
        models_.erase(std::remove(models_.begin(), models_.end(), order.model), models_.end());
    }
    else if (order.kind == "load_adapter" && !contains(adapters_, order.adapter)) {
        adapters_.push_back(order.adapter);
    }
    else if (order.kind == "set_role") {
        role_ = order.role;
    }
}

} // namespace dragonflymill::standins
