#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/order/order_tracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Address of a sidecar.
struct sidecar_endpoint
{
    upstream_id upstream; ///< Upstream that the sidecar serves.
    std::string address;  ///< IP address and port of its gRPC listener.

    friend auto operator==(const sidecar_endpoint&, const sidecar_endpoint&) -> bool = default;
};

/// Sidecars whose engines are declared to load a model.
struct model_replicas
{
    model_id model;                       ///< The model.
    std::vector<sidecar_endpoint> places; ///< All sidecars of the model's replicas.

    friend auto operator==(const model_replicas&, const model_replicas&) -> bool = default;
};

/// Inputs of `sidecar_core` about its own lease and the declared state of its engine.
namespace sidecar_input {

/// This process has bound its address, so gateways can reach it.
struct listening
{
};
/// A peer has confirmed that it has no newer bundle in force.
struct bundle_confirmed
{
    instant asked; ///< Time when the peer was asked.
};
/// The set of known processes of the fleet, alive or not, has changed.
struct peers_changed
{
    bool any = false; ///< False if no other process is known.
};
/// The bundle in force changed the declared state of the engine or the addresses of sidecars.
struct declared_changed
{
    std::string own_address;               ///< Address at which gateways call this sidecar.
    std::optional<declared_engine> wanted; ///< Declared state; no order is sent if it is empty.
    std::vector<model_replicas> replicas;  ///< Replicas of every model of the bundle.
};
/// A sidecar answered an `ask_sidecar`.
struct sidecar_answered
{
    upstream_id upstream;          ///< Upstream that the sidecar reports to serve.
    instant asked;                 ///< Time when the query was sent.
    incarnation holder;            ///< Incarnation of the sidecar that answered.
    std::vector<model_id> models;  ///< Models that its engine has loaded.
    std::vector<model_id> loading; ///< Models that its engine is loading.
    bool draining = false;         ///< Whether it accepts no new work.
};
/// Result of an order.
struct order_answered
{
    std::uint64_t number = 0;                ///< Number of the order.
    order_result how = order_result::failed; ///< Answer of the engine; `failed` if none will come.
};

} // namespace sidecar_input

/// Outputs of `sidecar_core` for its own lease and the orders to its engine.
namespace sidecar_output {

/// Queries a sidecar, on a new connection, for its incarnation and the models of its engine.
struct ask_sidecar
{
    sidecar_endpoint place; ///< Sidecar to query.
};
/// Sends an order to the engine, but not after `not_after`.
struct send_order
{
    std::uint64_t number = 0; ///< Number that the answer repeats.
    engine_order order;       ///< The order.
    instant not_after;        ///< Latest time to send the first byte.
};

} // namespace sidecar_output

} // namespace dragonflymill
