#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/membership/member.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// Immutable view of the fleet for the rest of a daemon.
struct control_snapshot
{
    std::uint64_t number = 0;                       ///< Incremented with every snapshot of this process.
    std::shared_ptr<const bundle> in_force;         ///< The bundle in force; null while there is none.
    std::optional<bundle_notice> word;              ///< Its version and digest.
    bool ready = false;                             ///< Whether the bundle allows serving.
    bool isolated = false;                          ///< Whether peers are known but none responds.
    std::vector<member_update> members;             ///< All other known processes, sorted by name.
    std::size_t gateways_expected = 1;              ///< Gateways when all are healthy, including this one.
    std::vector<failure_domain_id> drained_domains; ///< Failure domains that accept no new work, sorted.
    std::vector<host_id> drained_hosts;             ///< Hosts that accept no new work, sorted.
    std::vector<std::string>
        alarms; ///< Conditions that need an operator's attention, newest last; at most 16.
};

/// Whether neither the host nor its failure domain is drained.
[[nodiscard]] auto accepts_new_work(const control_snapshot& snapshot, const failure_domain_id& domain,
                                    const host_id& host) -> bool;

/// The gateways considered alive, including `self` if it is one, sorted by name.
[[nodiscard]] auto live_gateways(const control_snapshot& snapshot, const member_info& self)
    -> std::vector<process_id>;

} // namespace dragonflymill::control
