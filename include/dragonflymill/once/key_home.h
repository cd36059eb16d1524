#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Returns the hash of a caller's idempotency key that selects its home, the upstream that owns the key.
[[nodiscard]] auto home_hash(const route_id& route, const client_account_id& account, std::string_view key)
    -> std::uint64_t;

/// Returns the home of a key among the *configured* upstreams of its route; nothing if there are none.
/// Liveness is ignored on purpose: two gateways that disagree about which upstreams are alive would run the
/// same call at two homes.
[[nodiscard]] auto home_of(std::uint64_t key, const std::vector<upstream_id>& configured)
    -> std::optional<upstream_id>;

/// Settings of a key_home.
struct key_home_options
{
    upstream_id self;                                 ///< The sidecar's own upstream.
    duration propagation_time = 11s;                  ///< Maximum time until a bundle is in force everywhere.
    duration remember_for = std::chrono::minutes(10); ///< Maximum time for which outcomes are remembered.
    std::size_t max_routes = 256; ///< Maximum number of routes tracked; keys of others have no home here.
    std::size_t max_views = 8;    ///< Maximum number of earlier upstream sets kept per route.
};

/// Tracks a sidecar's bundles to determine which keys have their home here, and until when another upstream
/// may have run a key as its home.
///
/// Guards against running a call twice when a bundle adds an upstream between two attempts of a caller: the
/// retry reaches the key's new home, whose ledger does not contain the call.
///
/// Bounds: `max_routes` and `max_views`. A dropped view counts as a move of every key, which only increases
/// the number of `unknown` outcomes.
class key_home
{
public:
    /// Starts without any route.
    explicit key_home(key_home_options options);

    /// Records that a bundle came into force here in which `route` has these upstreams.
    void adopt(instant now, const route_id& route, std::vector<upstream_id> configured);

    /// Returns whether this upstream is the home of `key` in the bundle in force.
    [[nodiscard]] auto is_home(const route_id& route, std::uint64_t key) const -> bool;
    /// Returns the last time at which another upstream may have run `key` as its home; nothing if the route
    /// is not tracked.
    [[nodiscard]] auto other_home_until(const route_id& route, std::uint64_t key) const
        -> std::optional<instant>;

private:
    struct view
    {
        std::vector<upstream_id> configured;
        instant ended;
    };
    struct route_views
    {
        std::vector<upstream_id> configured;
        std::vector<view> earlier;
        instant unknown_until;
    };

    void prune(instant now, route_views& views) const;

    key_home_options options_;
    std::map<route_id, route_views> routes_;
};

} // namespace dragonflymill
