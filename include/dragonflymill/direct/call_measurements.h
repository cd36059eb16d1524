#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/call_forecast.h"
#include "dragonflymill/direct/dispatch_policy.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/first_token_times.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/stream_timings.h"
#include "dragonflymill/direct/upstream_speeds.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// A call that is sent to an engine, as far as it is measured.
struct measured_call
{
    upstream_run run = 0;      ///< Run of the engine that answers it.
    int slots = 1;             ///< Slots of that engine.
    engine_profile profile;    ///< Profile of its engines.
    dispatch_choice choice;    ///< Where it is sent, and its forecast.
    duration time_to_target{}; ///< Left until the first token misses its target.

    friend auto operator==(const measured_call&, const measured_call&) -> bool = default;
};

/// Measures the calls of this gateway and passes on what they tell: to the forecasts, which are held against
/// what came, and to the speeds of upstreams.
class call_measurements
{
public:
    /// Starts the measurement of a call that is sent; `engine` is nothing for a plain service.
    void dispatched(placement_id placed, const call_class& of_class,
                    const std::optional<measured_call>& engine, instant now);
    /// Records an event of a call's answer. Returns how the forecast compares at the first one of a call to
    /// an engine.
    auto event(placement_id placed, const load_tracker& loads, instant now)
        -> std::optional<forecast_outcome>;
    /// Ends the measurement of a call.
    void finished(placement_id placed);
    /// Looks for silent streams and forgets old observations; to be called regularly.
    void tick(const load_tracker& loads, instant now);

    /// Corrections learned for the forecasts of a service's calls.
    [[nodiscard]] auto corrections(const std::string& service) const -> forecast_corrections;
    /// Moving averages of the times to first token.
    [[nodiscard]] auto first_tokens() const -> const first_token_times& { return first_tokens_; }
    /// How much slower than their profile upstreams run.
    [[nodiscard]] auto speeds() -> upstream_speeds& { return *speeds_; }
    [[nodiscard]] auto speeds() const -> const upstream_speeds& { return *speeds_; }

private:
    struct open_call
    {
        call_class of_class;
        std::optional<measured_call> engine; // nothing: a plain service
        bool started = false;
    };
    struct calibrators
    {
        forecast_calibrator whole;   // prompts that one engine prefills
        forecast_calibrator divided; // prompts that several engines prefill
    };
    struct known_engine
    {
        engine_forecast forecast;
        int open_calls = 0;
    };

    void begin_stream(placement_id placed, const measured_call& call, const load_tracker& loads, instant now);
    [[nodiscard]] auto work_of(upstream_key engine, const load_tracker& loads, instant now) const
        -> engine_work;
    [[nodiscard]] auto calibrator_of(const open_call& call) -> forecast_calibrator&;

    std::unique_ptr<upstream_speeds> speeds_ = std::make_unique<upstream_speeds>();
    stream_timings streams_{*speeds_}; // refers to `speeds_`, which stays in place when this object is moved
    first_token_times first_tokens_;
    std::map<std::string, calibrators> calibrators_;
    std::unordered_map<placement_id, open_call> open_;
    std::unordered_map<upstream_key, known_engine> engines_; // with open calls
};

} // namespace dragonflymill::direct
