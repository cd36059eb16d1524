#pragma once

#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/route/upstream_table.h"

namespace dragonflymill {

/// The upstreams that may take a part of the request. Gangs may take `share` of each one's memory, and none
/// of the upstreams reserved for short requests, so that gangs can't starve those.
[[nodiscard]] auto gang_candidates(const upstream_table& table, const model_id& model,
                                   const adapter_id& adapter, double share) -> std::vector<gang_candidate>;

/// Whether some upstream serves the model and none of them, by itself, may hold `tokens`.
[[nodiscard]] auto needs_gang(const upstream_table& table, const model_id& model, const adapter_id& adapter,
                              token_count tokens, double share) -> bool;

} // namespace dragonflymill
