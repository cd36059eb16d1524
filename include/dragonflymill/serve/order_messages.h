#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/order/order_tracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// A sidecar and where to call it.
struct sidecar_place
{
    upstream_id upstream; ///< The upstream that it stands beside.
    std::string address;  ///< IP and port of its gRPC listener.

    friend auto operator==(const sidecar_place&, const sidecar_place&) -> bool = default;
};

/// Who is to have a model loaded.
struct model_replicas
{
    model_id model;                    ///< The model.
    std::vector<sidecar_place> places; ///< All sidecars whose engines are to have it.

    friend auto operator==(const model_replicas&, const model_replicas&) -> bool = default;
};

/// Inputs of `sidecar_core` that tell whether it may act and what its engine is to be.
namespace sidecar_input {

/// Gateways can reach this process from now on: it alone holds its address.
struct listening
{
};
/// A peer that was asked then has no newer bundle in force.
struct bundle_confirmed
{
    instant asked; ///< When it was asked.
};
/// Whether other processes of the fleet are known, alive or not.
struct peers_changed
{
    bool any = false; ///< False for a process on its own.
};
/// The bundle in force changed what the engine is to be, or where sidecars are.
struct declared_changed
{
    std::string own_address;               ///< Where gateways call this sidecar.
    std::optional<declared_engine> wanted; ///< Nothing if the bundle doesn't say: then no order is given.
    std::vector<model_replicas> replicas;  ///< All models of the bundle.
};
/// A sidecar answered that was asked by `ask_sidecar`.
struct sidecar_answered
{
    upstream_id upstream;          ///< The upstream that it says it stands beside.
    instant asked;                 ///< When the question left.
    incarnation holder;            ///< Its start.
    std::vector<model_id> models;  ///< What its engine has loaded.
    std::vector<model_id> loading; ///< What its engine is loading.
    bool draining = false;         ///< Whether it takes no new work.
};
/// How an order went.
struct order_answered
{
    std::uint64_t number = 0;                ///< Number that it was given with.
    order_result how = order_result::failed; ///< The engine's answer; `failed` if none will come.
};

} // namespace sidecar_input

/// Outputs of `sidecar_core` for the same.
namespace sidecar_output {

/// Ask a sidecar, on a connection opened for it, which start of it answers there and what its engine has.
struct ask_sidecar
{
    sidecar_place place; ///< Whom.
};
/// Give an order to the engine, but not after `not_after`.
struct send_order
{
    std::uint64_t number = 0; ///< Repeated in the answer.
    engine_order order;       ///< What to do.
    instant not_after;        ///< Last moment for the first byte to leave.
};

} // namespace sidecar_output

} // namespace dragonflymill
