#pragma once

#include "dragonflymill/route/route_request.h"
#include "dragonflymill/route/upstream_record.h"

namespace dragonflymill {

/// Class of a request with `prefill` uncached tokens on this upstream.
[[nodiscard]] auto class_on(const upstream_record& record, const route_request& request, token_count prefill)
    -> length_class;

/// Time until the first token of a request with `prefill` uncached tokens: what stands before it, its own
/// prefill, the decode steps in between, and the step that runs when it arrives.
[[nodiscard]] auto predict_first_token(const upstream_record& record, length_class size, token_count prefill)
    -> duration;

/// Time of an engine with nothing else to do for `tokens` of prefill.
[[nodiscard]] auto prefill_time(const upstream_description& engine, token_count tokens) -> duration;

/// Time in which an upstream works off what is queued there. What its load word says shrinks with the word's
/// age, since it has been working meanwhile: an upstream that fell silent doesn't look loaded for ever.
[[nodiscard]] auto drain_time(instant now, const upstream_record& record) -> duration;

} // namespace dragonflymill
