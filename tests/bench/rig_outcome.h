#pragma once

#include "rig_traffic.h"

#include <optional>
#include <utility>

namespace dragonflymill::rig {

/// How a run is set up.
struct world_settings
{
    std::size_t engines = 16;            ///< Upstreams.
    engine_settings engine;              ///< Each of them.
    double reserved = 0.25;              ///< Part of them kept free of long prefill.
    duration overload_bound{30'000'000}; ///< Drain time up to which nothing is shed.
    double gang_share = 0.8;             ///< Part of an engine's memory that gangs may take.
};

/// What became of a request.
struct outcome
{
    std::size_t bucket = 0;                         ///< Its length bucket.
    work_priority priority = work_priority::normal; ///< How urgent it was.
    std::optional<duration> first_token;            ///< From its arrival; nothing if it had none.
    std::optional<duration> whole; ///< From its arrival to its last token; nothing if it had none.
    duration alone_first_token{0}; ///< On an idle engine with the same tokens cached.
    duration alone_whole{0};       ///< The same for the last token.
    bool large_account = false;    ///< Of one of the few accounts that send most.
    bool refused = false;          ///< Refused before anything was sent.
    bool in_limit = false;         ///< Whole within its limit.
    bool paused = false;           ///< Paused at least once.
    bool counts = false;           ///< Came while the load was steady.
};

/// First-token and whole time of a request on an idle engine.
inline auto alone(const engine_settings& settings, const engine_job& job) -> std::pair<duration, duration>
{
    engine idle(settings);
    idle.submit(job);
    duration time{0};
    duration first{0};
    while (!idle.idle()) {
        time += idle.begin_step();
        for (const auto& event : idle.end_step()) {
            first = event.prefilled ? time : first;
        }
    }
    return {first, time};
}

} // namespace dragonflymill::rig
