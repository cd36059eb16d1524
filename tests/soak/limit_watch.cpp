#include "soak/limit_watch.h"

namespace dragonflymill::soak {

void limit_watch::begin(const std::string& upstream, double calls_per_s)
{
    episodes_[upstream] = {calls_per_s, std::chrono::steady_clock::now(), {}, {}, false};
}

void limit_watch::received(const std::string& upstream, const std::string& gateway)
{
    const auto found = episodes_.find(upstream);
    if (found == episodes_.end()) {
        return;
    }
    episode& limit = found->second;
    const moment now = std::chrono::steady_clock::now();
    const auto informed = limit.informed.emplace(gateway, now).first;
    const auto excused = excused_until_.find(gateway);
    const bool counts = now >= limit.since + settle_time && now >= informed->second + notice_time &&
                        (excused == excused_until_.end() || now >= excused->second);
    if (!counts) {
        return;
    }
    limit.calls.push_back(now);
    while (now - limit.calls.front() >= window) {
        limit.calls.pop_front();
    }
    const double seconds = std::chrono::duration<double>(window).count();
    const double allowed = 1.5 * seconds * limit.calls_per_s + 5.0;
    if (static_cast<double>(limit.calls.size()) > allowed && !limit.reported) {
        limit.reported = true;
        promises_.broken(upstream + " with a limit of " + std::to_string(limit.calls_per_s) +
                         " a second got " + std::to_string(limit.calls.size()) + " calls in four seconds");
    }
}

void limit_watch::struck(const std::string& gateway, std::chrono::milliseconds pause)
{
    for (auto& [upstream, limit] : episodes_) {
        limit.informed.erase(gateway);
    }
    excused_until_[gateway] = std::chrono::steady_clock::now() + pause + settle_time;
}

} // namespace dragonflymill::soak
