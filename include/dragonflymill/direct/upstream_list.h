#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_config.h"
#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill::direct {

/// What an upstream publishes about itself.
struct upstream_entry
{
    std::string id;              ///< Id of the upstream process.
    std::string service;         ///< Service that it belongs to.
    std::string address;         ///< IP address and port.
    std::string failure_domain;  ///< Failure domain that it runs in.
    bool leaving = false;        ///< Whether it is draining and accepts no new work.
    duration cold_remaining{};   ///< Remaining time for which it is cold, as of writing the entry.
    int slots = 1;               ///< Maximum number of concurrent requests.
    std::int64_t started_ms = 0; ///< Start by its own wall clock. The same id with another value is a restart
                                 ///< that has lost all earlier state. 0: unknown.

    friend auto operator==(const upstream_entry&, const upstream_entry&) -> bool = default;
};

/// Returns the key of this run of an upstream. It differs after a restart if the entry states the start.
[[nodiscard]] auto run_of(const upstream_entry& entry) -> upstream_run;

/// An operator's request to send no new work to a failure domain.
struct drained_domain
{
    std::string failure_domain; ///< Name of the failure domain.

    friend auto operator==(const drained_domain&, const drained_domain&) -> bool = default;
};

/// A published record that could not be decoded.
struct unusable_record
{
    std::string reason; ///< Cause, for the log.

    friend auto operator==(const unusable_record&, const unusable_record&) -> bool = default;
};

/// A published record, decoded.
using decoded_record =
    std::variant<std::shared_ptr<const fleet_config>, upstream_entry, drained_domain, unusable_record>;

/// An upstream's entry and the state that this process derives from it.
struct upstream_state
{
    upstream_entry entry;  ///< Entry as last published.
    std::uint64_t key = 0; ///< Hash of its id: its name in load reports and its position in a stable order.
    instant cold_since{};  ///< Begin of its last cold start, as far as known here.
    instant cold_until{};  ///< Time until which it is cold.
    std::optional<instant>
        removed_at; ///< When its entry was removed, while the removal is still unconfirmed.

    friend auto operator==(const upstream_state&, const upstream_state&) -> bool = default;
};

/// The upstreams and the configuration in force, built from decoded records.
///
/// Guards against an outage of the registry: entries of running upstreams expire during it and reappear
/// within two seconds of its end. Removals seen right after an outage are applied with a delay, because
/// otherwise all upstreams would be lost for that time.
class upstream_list
{
public:
    /// Applies a new or changed record.
    void take(const std::string& key, const decoded_record& record, instant now);
    /// Applies the removal of a record; `after_outage` if the registry has just recovered from an outage.
    void remove(const std::string& key, bool after_outage, instant now);
    /// Applies delayed removals that are due.
    void tick(instant now);
    /// Sets the time for which work may still reach an upstream after its removal; limits the delay of
    /// removals accordingly.
    void set_leave_bound(duration bound)
    {
        removal_delay_ = std::clamp(bound - propagation_reserve, duration(), removal_delay);
    }

    /// The configuration in force; null before the first.
    [[nodiscard]] auto config() const -> const std::shared_ptr<const fleet_config>& { return config_; }
    /// All upstreams by id.
    [[nodiscard]] auto upstreams() const -> const std::map<std::string, upstream_state>&
    {
        return upstreams_;
    }
    /// Number of upstreams of a service, draining ones included.
    [[nodiscard]] auto size_of(const std::string& service) const -> std::size_t;
    /// Number of upstreams of the largest service.
    [[nodiscard]] auto largest_service() const -> std::size_t;
    /// Returns whether new work may be sent to this upstream.
    [[nodiscard]] auto accepts_work(const upstream_state& upstream) const -> bool;
    /// Failure domains that receive no new work.
    [[nodiscard]] auto drained_domains() const -> const std::set<std::string>& { return drained_domains_; }

    /// Delay of a removal after an outage. Running upstreams reappear within two seconds of the registry's
    /// recovery, and a removal is first seen up to half a second after it.
    static constexpr duration removal_delay = 1600ms;
    /// Part of the time in which work may still reach a draining upstream that is reserved for the removal to
    /// get here and for dispatched work to arrive.
    static constexpr duration propagation_reserve = 700ms;

private:
    void take_entry(const std::string& key, const upstream_entry& entry, instant now);
    void erase(const std::string& id);
    static void extend_cold_start(upstream_state& upstream, instant until, instant now);
    [[nodiscard]] auto cold_time(const std::string& service) const -> duration;

    std::shared_ptr<const fleet_config> config_;
    std::map<std::string, upstream_state> upstreams_;
    std::map<std::string, std::size_t> service_sizes_;
    std::map<std::string, std::string> id_by_key_;
    std::map<std::string, std::string> domain_by_key_;
    std::set<std::string> drained_domains_;
    duration removal_delay_ = removal_delay;
};

} // namespace dragonflymill::direct
