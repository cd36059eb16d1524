#pragma once

#include "control/peer_service.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/membership/datagram_seal.h"

namespace dragonflymill::control {

/// An operator's word, sealed with the fleet's key at `now`.
[[nodiscard]] auto seal_drain(const datagram_seal& seal, const drain_subject& subject, bool back,
                              wall_instant now) -> sealed_drain;

/// Checks an operator's word: sealed with the fleet's key, not older than a minute, and sent later than the
/// one that was taken last, so that a recorded one can't be played back.
[[nodiscard]] auto check_drain(const datagram_seal& seal, const sealed_drain& word, wall_instant now,
                               std::uint64_t last_time_ms) -> result<void>;

} // namespace dragonflymill::control
