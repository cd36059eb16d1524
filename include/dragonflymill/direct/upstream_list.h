#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill::direct {

/// What an upstream has published about itself.
struct upstream_entry
{
    std::string id;              ///< Name of this start of the upstream.
    std::string service;         ///< The service that it belongs to.
    std::string address;         ///< IP and port.
    std::string failure_domain;  ///< Where it runs.
    bool leaving = false;        ///< Whether it takes no new work.
    duration cold_remaining{};   ///< For how much longer it was cold when it wrote this.
    int slots = 1;               ///< Requests that it runs at once.
    std::int64_t started_ms = 0; ///< Start by its own civil clock; the same id with another value is a new
                                 ///< start that knows nothing of before. 0: not told.

    friend auto operator==(const upstream_entry&, const upstream_entry&) -> bool = default;
};

/// An operator asked for a failure domain to get no new work.
struct drained_domain
{
    std::string failure_domain; ///< Which.

    friend auto operator==(const drained_domain&, const drained_domain&) -> bool = default;
};

/// A published record of which nothing can be used, and why.
struct unusable_record
{
    std::string reason; ///< For the log.

    friend auto operator==(const unusable_record&, const unusable_record&) -> bool = default;
};

/// A published record, decoded.
using decoded_record =
    std::variant<std::shared_ptr<const fleet_config>, upstream_entry, drained_domain, unusable_record>;

/// An upstream and what this process knows of it.
struct upstream_state
{
    upstream_entry entry;  ///< As published last.
    std::uint64_t key = 0; ///< Hash of its id: its name in load reports, and its place in an order.
    instant cold_until{};  ///< It is cold until then.
    std::optional<instant> removed_at; ///< When its entry went, while the removal isn't believed yet.

    friend auto operator==(const upstream_state&, const upstream_state&) -> bool = default;
};

/// The upstreams and the configuration in force, from decoded records.
///
/// Guards against an outage of the registry: entries of living upstreams lapse while it is away and come back
/// within two seconds of its return. A removal that is seen right after an outage is not believed at once, or
/// all upstreams would be lost for that time.
class upstream_list
{
public:
    /// A record changed or appeared.
    void take(const std::string& key, const decoded_record& fact, instant now);
    /// A record was removed; `after_outage` if the registry was away a moment ago.
    void remove(const std::string& key, bool after_outage, instant now);
    /// Time passes: removals that were held back are believed.
    void tick(instant now);
    /// Work may reach an upstream for so long after its removal: no removal is held back longer than that
    /// allows.
    void set_leave_bound(duration bound)
    {
        hold_ = std::clamp(bound - leave_reserve, duration(), removal_hold);
    }

    /// The configuration in force; nothing before the first.
    [[nodiscard]] auto config() const -> const std::shared_ptr<const fleet_config>& { return config_; }
    /// All upstreams by id.
    [[nodiscard]] auto upstreams() const -> const std::map<std::string, upstream_state>&
    {
        return upstreams_;
    }
    /// Whether new work may be sent to this upstream now.
    [[nodiscard]] auto accepts_work(const upstream_state& upstream) const -> bool;
    /// Failure domains that get no new work.
    [[nodiscard]] auto domains_out() const -> const std::set<std::string>& { return domains_out_; }

    /// How long a removal after an outage is held back: living upstreams are back within two seconds of the
    /// registry's return, and a removal is first seen up to half a second after that.
    static constexpr duration removal_hold = 1600ms;
    /// Of the time in which work may still reach a leaving upstream, kept for the news to get here and the
    /// work to get there.
    static constexpr duration leave_reserve = 700ms;

private:
    void take_entry(const std::string& key, const upstream_entry& entry, instant now);
    [[nodiscard]] auto cold_time(const std::string& service) const -> duration;

    std::shared_ptr<const fleet_config> config_;
    std::map<std::string, upstream_state> upstreams_;
    std::map<std::string, std::string> id_by_key_;
    std::map<std::string, std::string> domain_by_key_;
    std::set<std::string> domains_out_;
    duration hold_ = removal_hold;
};

} // namespace dragonflymill::direct
