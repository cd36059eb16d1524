#include "dragonflymill/direct/digest_reports.h"

#include <cstdint>
#include <optional>

namespace dragonflymill::direct {

void set_versions(digest_state& state, call_dispatcher& dispatcher)
{
    state.load_changes = dispatcher.loads().own_version();
    state.rate_limit_changes = dispatcher.availability().rate_limits().version();
    state.slowdown_changes = dispatcher.speeds().version();
    state.evidence_changes = dispatcher.quarantine().evidence().version();
}

void add_reports(peer_message& message, call_dispatcher& dispatcher, const due_digest& due, instant now)
{
    const auto since = [&due](std::uint64_t version) -> std::optional<std::uint64_t> {
        return due.whole ? std::nullopt : std::optional(version);
    };
    message.report.is_complete = due.whole;
    message.report.loads = dispatcher.loads().own_loads(now, since(due.changes_since));
    message.rate_limits = dispatcher.availability().rate_limits().reports(
        now, message.digest.sequence, since(due.rate_limit_changes_since));
    message.slowdowns = dispatcher.speeds().reports(now, since(due.slowdown_changes_since));
    message.evidence = dispatcher.quarantine().evidence().reports(now, since(due.evidence_changes_since));
}

} // namespace dragonflymill::direct
