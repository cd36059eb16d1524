#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// The number that stands for a caller's idempotency key when its home is chosen.
[[nodiscard]] auto home_hash(const route_id& route, const client_account_id& account, std::string_view key)
    -> std::uint64_t;

/// Home of a key among the *configured* upstreams of its route: never among those that seem alive, since two
/// gateways that differ about who is alive would run the same call at two homes. Nothing if there are none.
[[nodiscard]] auto home_of(std::uint64_t key, const std::vector<upstream_id>& configured)
    -> std::optional<upstream_id>;

/// Settings of a key_home.
struct key_home_options
{
    upstream_id self;                                 ///< The sidecar's own upstream.
    duration spread = 11s;                            ///< Longest time until a bundle is in force everywhere.
    duration remember_for = std::chrono::minutes(10); ///< Longest time for which outcomes are remembered.
    std::size_t max_routes = 256; ///< Routes followed; keys of others are not at home here.
    std::size_t max_views = 8;    ///< Earlier upstream sets remembered for each route.
};

/// Follows a sidecar's bundles and tells which keys are at home here, and until when another upstream may
/// have run a key as its home.
///
/// Guarded failure: the bundle adds an upstream between a caller's two tries, the retry meets an empty ledger
/// at the key's new home and the booking is made twice.
/// Bounds: `max_routes` and `max_views`; a view that falls out counts as a move of every key, which only
/// makes more answers `unknown`.
class key_home
{
public:
    /// Knows no route yet.
    explicit key_home(key_home_options options);

    /// A bundle has come into force here in which `route` has these upstreams.
    void adopt(instant now, const route_id& route, std::vector<upstream_id> configured);

    /// Whether the bundle in force makes this upstream the home of `key`.
    [[nodiscard]] auto is_home(const route_id& route, std::uint64_t key) const -> bool;
    /// The last moment at which another upstream may have run `key` as its home.
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
