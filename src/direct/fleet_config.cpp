#include "dragonflymill/direct/fleet_config.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::direct {

auto route_rule::service_for(std::string_view request) const -> const std::string&
{
    std::uint64_t total = 0;
    for (const weighted_service& share : services) {
        total += share.weight;
    }
    std::uint64_t at = total == 0 ? 0 : stable_hash(request) % total;
    for (const weighted_service& share : services) {
        if (at < share.weight) {
            return share.service;
        }
        at -= share.weight;
    }
    return services.front().service;
}

fleet_config::fleet_config(parts contents)
    : parts_(std::move(contents))
{
    for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
        const route_rule& route = parts_.routes[i];
        routes_by_host_[route.host].push_back(i);
        if (route.tbt_target <= duration::zero()) {
            continue;
        }
        for (const weighted_service& share : route.services) {
            const auto [found, added] = tightest_tbt_target_.emplace(share.service, route.tbt_target);
            found->second = std::min(found->second, route.tbt_target);
        }
    }
    for (auto& [host, indexes] : routes_by_host_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return parts_.routes[a].path_prefix.size() > parts_.routes[b].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < parts_.accounts.size(); ++i) {
        for (const std::string& key : parts_.accounts[i].keys) {
            account_by_key_.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < parts_.services.size(); ++i) {
        service_by_name_.emplace(parts_.services[i].name, i);
    }
}

auto fleet_config::match_route(std::string_view host, std::string_view path) const -> const route_rule*
{
    const auto found = routes_by_host_.find(host);
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(parts_.routes[index].path_prefix)) {
            return &parts_.routes[index];
        }
    }
    return nullptr;
}

auto fleet_config::find_account(const std::string& key) const -> const account_rule*
{
    const auto found = account_by_key_.find(key);
    return found == account_by_key_.end() ? nullptr : &parts_.accounts[found->second];
}

auto fleet_config::find_service(const std::string& name) const -> const service_rule*
{
    const auto found = service_by_name_.find(name);
    return found == service_by_name_.end() ? nullptr : &parts_.services[found->second];
}

auto fleet_config::tightest_tbt_target(const std::string& service) const -> std::optional<duration>
{
    const auto found = tightest_tbt_target_.find(service);
    return found == tightest_tbt_target_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace dragonflymill::direct
