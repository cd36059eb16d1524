#include "soak/statement_watch.h"

namespace dragonflymill::soak {

void statement_watch::rejected(const std::string& upstream, const std::string& gateway,
                               std::chrono::milliseconds length)
{
    const moment now = std::chrono::steady_clock::now();
    auto& open = pauses_[{upstream, gateway}];
    std::erase_if(open, [&](const auto& each) { return each.ends_at <= now; });
    open.push_back({now, now + length, 0});
    ++statements_;
}

void statement_watch::passed_on_drain(const std::string& upstream, const std::string& gateway)
{
    const bool is_first = drains_.emplace(link(upstream, gateway), std::chrono::steady_clock::now()).second;
    statements_ += is_first ? 1 : 0;
}

void statement_watch::received(const std::string& upstream, const std::string& gateway, moment sent_at)
{
    const moment now = std::chrono::steady_clock::now();
    const std::string link_name = upstream + " to " + gateway;
    const auto found = pauses_.find({upstream, gateway});
    if (found != pauses_.end()) {
        for (pause& each : found->second) {
            const bool counts = now > each.asked_at + notice_time && now < each.ends_at;
            if (counts && ++each.calls == allowed_calls + 1) {
                promises_.broken("calls during a pause that was asked for, " + link_name);
            }
        }
    }
    const auto drain = drains_.find({upstream, gateway});
    if (drain != drains_.end() && sent_at > drain->second + drain_time) {
        promises_.broken("a call sent after a drain was stated, " + link_name);
    }
}

void statement_watch::excuse(const std::string& gateway)
{
    const auto is_of_gateway = [&](const auto& item) { return item.first.second == gateway; };
    std::erase_if(pauses_, is_of_gateway);
    std::erase_if(drains_, is_of_gateway);
}

void statement_watch::restarted(const std::string& upstream)
{
    const auto is_of_upstream = [&](const auto& item) { return item.first.first == upstream; };
    std::erase_if(pauses_, is_of_upstream);
    std::erase_if(drains_, is_of_upstream);
}

} // namespace dragonflymill::soak
