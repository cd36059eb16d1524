#include "soak/crash_watch.h"

namespace dragonflymill::soak {

void crash_watch::excuse(const std::string& gateway)
{
    excused_[gateway] = std::chrono::steady_clock::now();
}

void crash_watch::crashed(const std::string& request, const std::string& gateway, moment sent_at)
{
    const bool enough = crashes_.size() >= enough_crashes;
    const bool is_late = enough && sent_at > crashes_[enough_crashes - 1] + reaction_time;
    const auto excused = excused_.find(gateway);
    const bool counts = excused == excused_.end() || sent_at > excused->second + reaction_time;
    if (is_late && counts && ++late_calls_ > max_late_calls) {
        promises_.broken("a call with a part that crashes upstreams was sent to one more: " + request +
                         " from " + gateway);
    }
    crashes_.push_back(std::chrono::steady_clock::now());
}

} // namespace dragonflymill::soak
