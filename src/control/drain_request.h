#pragma once

#include "control/peer_service.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/membership/datagram_seal.h"

namespace dragonflymill::control {

/// Creates an operator's drain request, sealed with the fleet's key at `now`.
[[nodiscard]] auto seal_drain(const datagram_seal& seal, const drain_subject& subject, bool back,
                              wall_instant now) -> sealed_drain;

/// Verifies an operator's drain request: sealed with the fleet's key, at most one minute off this host's
/// clock, and newer than the last accepted one, which prevents replay.
[[nodiscard]] auto check_drain(const datagram_seal& seal, const sealed_drain& word, wall_instant now,
                               std::uint64_t last_time_ms) -> result<void>;

} // namespace dragonflymill::control
