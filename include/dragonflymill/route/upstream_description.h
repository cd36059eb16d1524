#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <array>
#include <vector>

namespace dragonflymill {

/// Static description of an upstream in the bundle.
struct upstream_description
{
    upstream_id id;                   ///< Id of the upstream.
    failure_domain_id failure_domain; ///< Failure domain it runs in.
    region_id region;                 ///< Region of that failure domain.
    std::vector<model_id> models; ///< Models it serves; for a service without a model, the name of its route.
    std::vector<adapter_id> adapters; ///< Loaded adapters.
    token_count memory = 0;           ///< KV cache capacity, in tokens of context; 0 if memory is no limit.
    double prefill_rate = 40'000.0; ///< Prefill throughput of an otherwise idle engine, in tokens per second.
    token_count prefill_chunk = 512;  ///< Prefill tokens per engine iteration.
    duration decode_step{8'000};      ///< Duration of an iteration with one running request.
    duration decode_step_growth{100}; ///< Increase of that duration per further running request.
    token_count max_outstanding = 0;  ///< Tokens that its sidecar admits when warm; 0 if unknown.
    bool takes_bulk = true;           ///< Whether it accepts bulk prefill; see `reserve_for_short`.

    friend auto operator==(const upstream_description&, const upstream_description&) -> bool = default;
};

/// Load report of an upstream, received with responses and probes.
struct upstream_load
{
    /// Accepted and unfinished prefill per length class, in tokens. An engine that doesn't distinguish
    /// classes reports everything in the first class, where it counts as ahead of every request.
    std::array<token_count, length_class_count> queued_prefill{};
    std::int64_t running = 0;    ///< Requests in the decode phase.
    token_count outstanding = 0; ///< Cost that the sidecar has admitted, in tokens.
    token_count allowed = 0;     ///< Cost that the sidecar's ramp allows, in tokens; 0 for no limit.
    token_count memory_used = 0; ///< Used KV cache, in tokens of context.
    duration age{0};             ///< Age of the report when it was received.
    incarnation start;           ///< Incarnation of the engine; a new one starts cold, with an empty cache.
    bool draining = false;       ///< The sidecar accepts no new work.
    bool cold = false;           ///< The engine is warming up, limited by the sidecar's ramp.

    friend auto operator==(const upstream_load&, const upstream_load&) -> bool = default;
};

/// State of an upstream according to membership.
enum class upstream_state
{
    alive,   ///< Responds to probes.
    suspect, ///< Missed a probe; gets new work only if no alive upstream is eligible.
    leaving, ///< Shutting down; finishes its work in flight.
    dead,    ///< Declared dead.
};

} // namespace dragonflymill
