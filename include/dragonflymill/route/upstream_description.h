#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <array>
#include <vector>

namespace dragonflymill {

/// What the bundle says of an upstream.
struct upstream_description
{
    upstream_id id;                   ///< Its name.
    failure_domain_id failure_domain; ///< Where it fails together with others.
    region_id region;                 ///< Region of that failure domain.
    std::vector<model_id> models;     ///< Models it serves; for a plain service the name of its route.
    std::vector<adapter_id> adapters; ///< Adapters it has loaded.
    token_count memory = 0;           ///< Tokens of context that fit its memory; 0 if that does not bound it.
    double prefill_rate = 40'000.0;   ///< Tokens of prefill a second when nothing else runs.
    token_count prefill_chunk = 512;  ///< Tokens of prefill in one step of the engine.
    duration decode_step{8'000};      ///< Time of a step with one running request.
    duration decode_step_growth{100}; ///< What each further running request adds to a step.
    token_count max_outstanding = 0;  ///< Tokens that its sidecar lets in when warm; 0 if not known.
    bool takes_bulk = true;           ///< Whether long prefill may go there; see `reserve_for_short`.

    friend auto operator==(const upstream_description&, const upstream_description&) -> bool = default;
};

/// An upstream's own word on its load, as it comes with answers and probes.
struct upstream_load
{
    /// Tokens of prefill accepted and not yet done, by class. An engine that does not tell classes apart puts
    /// all of it in the first: then it counts against every request.
    std::array<token_count, length_class_count> queued_prefill{};
    std::int64_t running = 0;    ///< Requests in decode.
    token_count outstanding = 0; ///< Cost that the sidecar has granted.
    token_count allowed = 0;     ///< Cost that the sidecar's ramp allows; 0 if it sets no bound.
    token_count memory_used = 0; ///< Tokens of context held.
    duration age{0};             ///< How old this word was when it was received.
    incarnation start;           ///< Start of the engine; a new one means an empty, cold engine.
    bool draining = false;       ///< The sidecar takes no new work.
    bool cold = false;           ///< The sidecar is ramping it up.

    friend auto operator==(const upstream_load&, const upstream_load&) -> bool = default;
};

/// What membership says of an upstream.
enum class upstream_state
{
    alive,   ///< Answers.
    suspect, ///< Did not answer of late; takes new work only if nothing better is there.
    leaving, ///< Finishes what it has and goes.
    dead,    ///< Gone.
};

} // namespace dragonflymill
