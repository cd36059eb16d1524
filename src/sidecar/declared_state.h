#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/serve/order_messages.h"

namespace dragonflymill::sidecar {

/// What `in_force` wants the engine of `own` to be, and which sidecars stand beside a model's other replicas.
/// Without models in the bundle nothing is wanted: an engine that is looked after by hand is left alone.
[[nodiscard]] auto declared_state_of(const bundle& in_force, const upstream_entry& own)
    -> sidecar_input::declared_changed;

} // namespace dragonflymill::sidecar
