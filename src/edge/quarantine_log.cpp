#include "edge/quarantine_log.h"

#include "log/logger.h"

#include <algorithm>
#include <string>

namespace dragonflymill::edge {

namespace {

auto to_text(const prompt_parts& parts) -> std::string
{
    std::string text;
    for (const prompt_part part : parts) {
        text.append(text.empty() ? "" : " ").append(std::to_string(part));
    }
    return text;
}

} // namespace

void quarantine_log::update(const part_quarantine& parts, gateway_metrics& metrics, instant now)
{
    const std::vector<quarantine>& current = parts.quarantines();
    std::erase_if(logged_, [&](const auto& item) {
        const bool in_force = std::any_of(current.begin(), current.end(),
                                          [&](const quarantine& other) { return other.parts == item.first; });
        if (!in_force) {
            log_event(event::quarantine_ended, field("parts", to_text(item.first)),
                      field("lasted_us", now - item.second));
        }
        return !in_force;
    });
    for (const quarantine& item : current) {
        if (logged_.emplace(item.parts, now).second) {
            log_event(event::quarantine_began, field("parts", to_text(item.parts)),
                      field("crashes", item.crashes), field("last_crash_us", now - item.last_crash),
                      field("trial_in_us", item.trial_at - now), field("ends_in_us", item.ends_at - now));
        }
    }
    metrics.quarantines.set(static_cast<std::int64_t>(current.size()));
}

} // namespace dragonflymill::edge
