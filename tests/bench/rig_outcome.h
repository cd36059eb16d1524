#pragma once

#include "rig_traffic.h"

#include <optional>
#include <utility>

namespace dragonflymill::rig {

/// Settings of one simulation.
struct world_settings
{
    std::size_t engines = 16;            ///< Number of engines.
    engine_settings engine;              ///< Settings of each engine.
    double reserved = 0.25;              ///< Fraction of the engines reserved for short prompts.
    duration overload_bound{30'000'000}; ///< Drain time up to which no load is shed.
    double gang_share = 0.8;             ///< Fraction of an engine's memory that gangs may use.
};

/// Outcome of a request.
struct outcome
{
    std::size_t bucket = 0;                         ///< Index of the length bucket.
    work_priority priority = work_priority::normal; ///< Priority of the request.
    std::optional<duration> first_token;            ///< Time to first token; nothing if there was none.
    std::optional<duration> whole; ///< Time from arrival to the last token; nothing if there was none.
    duration alone_first_token{0}; ///< Time to first token on an idle engine with the same cached tokens.
    duration alone_whole{0};       ///< Time to the last token on such an engine.
    bool large_account = false;    ///< Whether it belongs to one of the accounts that send most requests.
    bool refused = false;          ///< Refused before anything was sent to an engine.
    bool in_limit = false;         ///< Completed within its deadline.
    bool paused = false;           ///< Paused at least once.
    bool counts = false;           ///< Arrived in the steady phase.
};

/// Time to first token and to last token of a request on an idle engine.
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
