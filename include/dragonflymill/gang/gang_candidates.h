#pragma once

#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/route/upstream_table.h"

namespace dragonflymill {

/// Returns the upstreams that may hold a part of a prompt. Gangs may use the fraction `share` of each one's
/// memory, and none of the upstreams reserved for short requests, so that gangs can't starve those.
[[nodiscard]] auto gang_candidates(const upstream_table& table, const model_id& model,
                                   const adapter_id& adapter, double share) -> std::vector<gang_candidate>;

/// Returns whether some upstream serves the model and none of them may hold `tokens` alone.
[[nodiscard]] auto needs_gang(const upstream_table& table, const model_id& model, const adapter_id& adapter,
                              token_count tokens, double share) -> bool;

} // namespace dragonflymill
