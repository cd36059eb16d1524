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

} // namespace dragonflymill
