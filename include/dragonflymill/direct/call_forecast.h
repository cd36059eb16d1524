#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/load_tracker.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace dragonflymill::direct {

/// State of an engine that decides how soon it serves a call.
struct engine_condition
{
    int streams = 0;                ///< Calls in flight.
    int slots = 1;                  ///< Requests that it runs concurrently.
    int parts = 0;                  ///< Prefill parts of prompts that other engines decode.
    duration pending_prefill{};     ///< Predicted prefill time that remains, at the speed of the profile.
    std::int64_t memory_tokens = 0; ///< KV cache in use, in tokens.
    double slowdown = 1.0;          ///< Factor by which it runs slower than its profile.

    friend auto operator==(const engine_condition&, const engine_condition&) -> bool = default;
};

/// Expected times of a call at an engine.
struct call_times
{
    duration first_token{};   ///< From sending the call to its first token.
    duration longest_pause{}; ///< Between two events of its answer.

    friend auto operator==(const call_times&, const call_times&) -> bool = default;
};

/// Engines in a similar condition; their forecast errors are learned together.
enum class condition_class
{
    idle,        ///< No streams and nothing to prefill.
    light,       ///< Streams in at most half of its slots, little else to prefill.
    busy,        ///< More streams, at least two free slots, little else to prefill.
    nearly_full, ///< At most one free slot, whatever there is to prefill.
    prefilling,  ///< More than `little_prefill` pending, or parts of other engines' prompts.
};
inline constexpr std::size_t condition_classes = 5;
/// Pending prefill up to this fits beside an iteration and delays the next call little.
inline constexpr duration little_prefill = 40ms;

/// Returns the class of a condition.
[[nodiscard]] auto class_of(const engine_condition& engine) -> condition_class;

/// Predicts the times of calls from the profile of an engine and its condition, corrected by what was
/// observed in the same class of conditions. Immutable; `forecast_calibrator` makes a new one with each
/// observation.
class call_forecast
{
public:
    /// What the observations of a class say about the forecast without correction.
    struct correction
    {
        duration median{};       ///< Median of measured less predicted time to first token.
        duration upper{};        ///< Three quarters of the errors are below.
        std::size_t samples = 0; ///< Observations behind it.

        friend auto operator==(const correction&, const correction&) -> bool = default;
    };

    /// The forecast without observations.
    call_forecast() = default;
    explicit call_forecast(const std::array<correction, condition_classes>& corrections)
        : corrections_(corrections)
    {
    }

    /// Returns the expected times of a call whose prefill takes `prefill_time` at the speed of the profile.
    [[nodiscard]] auto times(const engine_forecast& profile, const engine_condition& engine,
                             duration prefill_time) const -> call_times;
    /// Returns the time to first token that is exceeded in a quarter of cases.
    [[nodiscard]] auto upper_first_token(const engine_forecast& profile, const engine_condition& engine,
                                         duration prefill_time) const -> duration;
    /// Returns the expected times without correction. An engine without a free slot is forecast like one
    /// with a free slot, as its profile doesn't state how long calls keep their slots; what the wait adds is
    /// left to the correction.
    [[nodiscard]] static auto from_profile(const engine_forecast& profile, const engine_condition& engine,
                                           duration prefill_time) -> call_times;

    friend auto operator==(const call_forecast&, const call_forecast&) -> bool = default;

private:
    [[nodiscard]] auto corrected(duration first_token, const engine_condition& engine, duration prefill_time,
                                 duration correction::*error) const -> duration;

    std::array<correction, condition_classes> corrections_{};
};

/// How a forecast compares with what came.
struct forecast_outcome
{
    duration predicted{};                           ///< Time to first token that was predicted at the choice.
    duration measured{};                            ///< Time to first token that was measured.
    bool late = false;                              ///< Whether the first token missed its target.
    bool foreseen_late = false;                     ///< Whether the forecast had missed the target too.
    condition_class engine = condition_class::idle; ///< Condition of the engine at the choice.

    /// Measured less predicted time.
    [[nodiscard]] auto error() const -> duration { return measured - predicted; }
    friend auto operator==(const forecast_outcome&, const forecast_outcome&) -> bool = default;
};

/// A call that is sent, with what was predicted for it.
struct forecast_call
{
    engine_condition engine;   ///< Condition of its engine, without the call.
    call_times from_profile;   ///< Forecast without correction.
    call_times predicted;      ///< Forecast that decided.
    duration time_to_target{}; ///< Time from sending until the first token misses its target.

    friend auto operator==(const forecast_call&, const forecast_call&) -> bool = default;
};

/// Holds forecasts against what came, and learns corrections from the difference.
///
/// Errors of slow engines aren't learned: `upstream_speeds` owns what is known of those, and a correction
/// would count their slowness twice and spread it to other engines. A call that never gets a first token
/// isn't learned either.
class forecast_calibrator
{
public:
    /// Starts the measurement of a call that is sent.
    void dispatched(placement_id placed, const forecast_call& call, instant now);
    /// Ends the measurement at the call's first token; returns nothing at later tokens.
    auto first_token(placement_id placed, instant now) -> std::optional<forecast_outcome>;
    /// Discards the measurement of a call that ended without a first token.
    void finished(placement_id placed) { open_.erase(placed); }
    /// Removes observations older than `max_age`. `dispatched` and `first_token` do so too; call it before a
    /// question if nothing may have been sent for long, or a forecast that keeps all calls away persists.
    void expire(instant now);
    /// Returns the forecast with the corrections learned so far.
    [[nodiscard]] auto forecast() const -> const call_forecast& { return forecast_; }

    /// Observations of a class that are kept.
    static constexpr std::size_t window = 64;
    /// Observations older than this describe another load.
    static constexpr duration max_age = 10s;
    /// Observations from which on a class is corrected by its own median; with fewer the correction counts in
    /// proportion.
    static constexpr std::size_t full_samples = 16;
    /// Bound of a correction in both directions. A class whose calls wait for seconds is in a condition that
    /// passes; with their wait as the forecast no call would go there, and none would show its end.
    static constexpr duration max_correction = 250ms;

private:
    struct observation
    {
        duration error{}; // measured less predicted without correction
        instant at{};
    };
    struct open_call
    {
        forecast_call call;
        instant sent_at{};
    };

    void update_forecast();

    std::unordered_map<placement_id, open_call> open_;
    std::array<std::deque<observation>, condition_classes> observations_; // oldest first
    call_forecast forecast_;
};

} // namespace dragonflymill::direct
