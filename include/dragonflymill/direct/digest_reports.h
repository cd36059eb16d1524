#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/gossip_schedule.h"
#include "dragonflymill/direct/peer_message.h"

namespace dragonflymill::direct {

/// Sets the versions of what `add_reports` reports.
void set_versions(digest_state& state, call_dispatcher& dispatcher);

/// Adds to a digest what this gateway reports of the upstreams: all of it to a whole one, otherwise the
/// changes. The sequence number of the digest must be set.
void add_reports(peer_message& message, call_dispatcher& dispatcher, const due_digest& due, instant now);

/// Applies what a peer reports of the upstreams.
void take_reports(const peer_message& message, call_dispatcher& dispatcher, instant now);

} // namespace dragonflymill::direct
