#include "soak/fatal_watch.h"

namespace dragonflymill::soak {

void fatal_watch::excuse(const std::string& gateway)
{
    excused_[gateway] = std::chrono::steady_clock::now();
}

void fatal_watch::ended(const std::string& name, const std::string& gateway, moment sent_at)
{
    std::vector<moment>& ends = ends_[name];
    const bool is_late = ends.size() >= enough_ends && sent_at > ends[enough_ends - 1] + reaction_time;
    const auto excused = excused_.find(gateway);
    const bool counts = excused == excused_.end() || sent_at > excused->second + reaction_time;
    if (is_late && counts) {
        promises_.broken("a request under which " + std::to_string(ends.size()) +
                         " upstreams had ended was sent to one more: " + name + " from " + gateway);
    }
    ends.push_back(std::chrono::steady_clock::now());
}

auto fatal_watch::ends() const -> int
{
    std::size_t count = 0;
    for (const auto& [name, ends] : ends_) {
        count += ends.size();
    }
    return static_cast<int>(count);
}

} // namespace dragonflymill::soak
