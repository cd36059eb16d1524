#include "sidecar/declared_state.h"

#include <algorithm>

namespace dragonflymill::sidecar {

namespace {

auto replicas_of(const bundle& in_force, const model_id& model) -> model_replicas
{
    model_replicas replicas{model, {}};
    for (const auto& upstream : in_force.upstreams) {
        const auto& models = upstream.models;
        if (std::find(models.begin(), models.end(), model) != models.end()) {
            replicas.places.push_back({upstream.id, upstream.sidecar_address});
        }
    }
    return replicas;
}

} // namespace

auto declared_state_of(const bundle& in_force, const upstream_entry& own) -> sidecar_input::declared_changed
{
    sidecar_input::declared_changed declared;
    declared.own_address = own.sidecar_address;
    if (own.kind != upstream_kind::engine || own.models.empty()) {
        return declared;
    }
    declared_engine engine;
    engine.version = in_force.version;
    engine.models = own.models;
    for (const auto& model : in_force.models) {
        declared.replicas.push_back(replicas_of(in_force, model.id));
        if (std::find(own.models.begin(), own.models.end(), model.id) != own.models.end()) {
            engine.adapters.insert(engine.adapters.end(), model.adapters.begin(), model.adapters.end());
        }
    }
    declared.wanted = std::move(engine);
    return declared;
}

} // namespace dragonflymill::sidecar
