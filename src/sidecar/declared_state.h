#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/serve/order_messages.h"

namespace dragonflymill::sidecar {

/// Returns the state that the bundle `in_force` declares for the engine of `own`, and the sidecars of each
/// model's replicas. An entry without models, or one that is not an engine, declares no state: an engine that
/// is managed by hand receives no orders.
[[nodiscard]] auto declared_state_of(const bundle& in_force, const upstream_entry& own)
    -> sidecar_input::declared_changed;

} // namespace dragonflymill::sidecar
