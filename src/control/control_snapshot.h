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

/// What the rest of a daemon needs to know of the fleet, as one value that never changes.
struct control_snapshot
{
    std::uint64_t number = 0;                       ///< Rises with every snapshot of this process.
    std::shared_ptr<const bundle> in_force;         ///< The bundle in force; null while there is none.
    std::optional<bundle_notice> word;              ///< Its name.
    bool ready = false;                             ///< Whether the bundle allows serving.
    bool isolated = false;                          ///< Whether no peer is heard although some are known.
    std::vector<member_update> members;             ///< Every other process known, sorted by name.
    std::size_t gateways_expected = 1;              ///< Gateways when all are well, this one included.
    std::vector<failure_domain_id> drained_domains; ///< Failure domains that take no new work, sorted.
    std::vector<host_id> drained_hosts;             ///< Hosts that take no new work, sorted.
    std::vector<std::string> alarms;                ///< What operators must look at, newest last; at most 16.
};

/// Whether new work may go to a host in a failure domain.
[[nodiscard]] auto accepts_new_work(const control_snapshot& snapshot, const failure_domain_id& domain,
                                    const host_id& host) -> bool;

/// The gateways believed alive, `self` included if it is one, sorted by name.
[[nodiscard]] auto live_gateways(const control_snapshot& snapshot, const member_info& self)
    -> std::vector<process_id>;

} // namespace dragonflymill::control
