#pragma once

#include "dragonflymill/route/route_request.h"
#include "dragonflymill/route/upstream_record.h"

namespace dragonflymill {

/// Length class of a request with `prefill` uncached tokens on this upstream.
[[nodiscard]] auto class_on(const upstream_record& record, const route_request& request, token_count prefill)
    -> length_class;

/// Predicts the time to first token of a request with `prefill` uncached tokens: the queued prefill ahead of
/// it, its own prefill, the decode steps in between, and the rest of the step in progress on arrival.
[[nodiscard]] auto predict_first_token(const upstream_record& record, length_class size, token_count prefill)
    -> duration;

/// Time that an idle engine takes to prefill `tokens`.
[[nodiscard]] auto prefill_time(const upstream_description& engine, token_count tokens) -> duration;

/// Time that an upstream needs to process its queued prefill. The age of the last load report is subtracted,
/// since the upstream has kept working; otherwise an upstream that stopped reporting would look loaded for
/// ever.
[[nodiscard]] auto drain_time(instant now, const upstream_record& record) -> duration;

} // namespace dragonflymill
