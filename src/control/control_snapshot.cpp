#include "control/control_snapshot.h"

#include <algorithm>

namespace dragonflymill::control {

auto accepts_new_work(const control_snapshot& snapshot, const failure_domain_id& domain, const host_id& host)
    -> bool
{
    const auto& domains = snapshot.drained_domains;
    const auto& hosts = snapshot.drained_hosts;
    return !std::binary_search(domains.begin(), domains.end(), domain) &&
           !std::binary_search(hosts.begin(), hosts.end(), host);
}

auto live_gateways(const control_snapshot& snapshot, const member_info& self) -> std::vector<process_id>
{
    std::vector<process_id> gateways;
    if (self.role == process_role::gateway) {
        gateways.push_back(self.id);
    }
    for (const auto& member : snapshot.members) {
        const bool live = member.state == member_state::alive || member.state == member_state::suspect;
        if (live && member.info.role == process_role::gateway) {
            gateways.push_back(member.info.id);
        }
    }
    std::sort(gateways.begin(), gateways.end());
    return gateways;
}

} // namespace dragonflymill::control
