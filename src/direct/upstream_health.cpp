#include "dragonflymill/direct/upstream_health.h"

#include <algorithm>

namespace dragonflymill::direct {

void upstream_health::record_end(const std::string& upstream, attempt_end end, instant now)
{
    switch (end) {
    case attempt_end::failed:
    case attempt_end::invalid:
        failed(upstream, now);
        return;
    case attempt_end::rejected:
    case attempt_end::overtaken:
        full(upstream, now);
        return;
    case attempt_end::not_sent:
    case attempt_end::misdirected:
    case attempt_end::reader_lost:
    case attempt_end::broken:
    case attempt_end::disconnected:
        lost(upstream, now);
        return;
    }
}

void upstream_health::lost(const std::string& upstream, instant now)
{
    record& found = records_[upstream];
    found.failure_share += loss_weight * (1.0 - found.failure_share);
    mark_suspect(found, now);
}

void upstream_health::failed(const std::string& upstream, instant now)
{
    record& found = records_[upstream];
    found.failure_share += failure_weight * (1.0 - found.failure_share);
    if (found.failure_share > suspect_failure_share) {
        mark_suspect(found, now);
    }
}

void upstream_health::full(const std::string& upstream, instant now)
{
    records_[upstream].rejected_until = now + full_pause;
}

void upstream_health::mark_suspect(record& found, instant now)
{
    // Calls that were in flight together fail together and count as one failure.
    if (found.probing && now < found.suspect_until) {
        return;
    }
    constexpr int max_doublings = 4;
    const duration backoff =
        std::min(first_pause * (1 << std::min(found.losses, max_doublings)), longest_pause);
    ++found.losses;
    found.probing = true;
    found.suspect_until = now + backoff;
}

void upstream_health::record_success(const std::string& upstream)
{
    const auto known = records_.find(upstream);
    if (known == records_.end()) {
        return;
    }
    record& found = known->second;
    found.failure_share *= 1.0 - failure_weight;
    found.probing = false;
    if (found.failure_share < healthy_failure_share) {
        found.losses = std::max(found.losses - 1, 0);
    }
}

auto upstream_health::suspect(const std::string& upstream, int own_calls, instant now) const -> bool
{
    const auto found = records_.find(upstream);
    if (found == records_.end()) {
        return false;
    }
    if (now < found->second.rejected_until) {
        return true;
    }
    if (!found->second.probing) {
        return false;
    }
    return now < found->second.suspect_until || own_calls > 0;
}

} // namespace dragonflymill::direct
