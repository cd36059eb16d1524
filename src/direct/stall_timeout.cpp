#include "dragonflymill/direct/stall_timeout.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// An upstream that is silent for three times the answer's aim has most likely lost the request. Callers of
/// streams leave after four times the aim at the earliest, so that a second attempt still reaches them.
constexpr int silent_aims = 3;
/// A pause between two events that lasts four times its aim means the same; callers wait for eight.
constexpr int silent_pauses = 4;
/// No silence shorter than this counts: callers bear a gap of two seconds, and a second attempt needs some
/// hundred milliseconds for its first event.
constexpr duration least_silence = 1s;
/// An engine that has so much to read for others is silent because of it, not lost: six to twelve of its
/// calls at a time were sent elsewhere and read twice after one second.
constexpr duration busy_reading = 250ms;
/// The calls of a busy engine are given up after this share of their callers' patience: a lost engine's
/// reading also stays on the board, and the rest is enough for a second attempt's first event.
constexpr int busy_share_percent = 80;
/// Callers leave a stream that has not begun after the longest of these: a time, so many aims of the answer,
/// so many of its pause aims.
constexpr duration least_patience = 2s;
constexpr int patient_aims = 4;
constexpr int patient_pauses = 8;

} // namespace

auto client_timeout_for(const route_rule& route) -> duration
{
    return std::max({least_patience, patient_aims * route.latency_target, patient_pauses * route.tbt_target});
}

auto is_busy_prefilling(duration reading) -> bool
{
    return reading > busy_reading;
}

auto stall_timeout_for(const route_rule& route, const stalled_attempt& attempt) -> duration
{
    const duration usual =
        attempt.begun ? silent_pauses * route.tbt_target : silent_aims * route.latency_target;
    const bool busy = is_busy_prefilling(attempt.reading);
    const duration bound = busy ? client_timeout_for(route) * busy_share_percent / 100 : duration::zero();
    return std::max({least_silence, usual, bound});
}

} // namespace dragonflymill::direct
