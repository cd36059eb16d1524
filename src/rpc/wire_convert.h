#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/route/upstream_description.h"
#include "dragonflymill/serve/attempt_spec.h"
#include "dragonflymill/serve/service_spec.h"
#include "gate.pb.h"

namespace dragonflymill::rpc {

/// Writes a try's description for the wire.
[[nodiscard]] auto to_wire(const attempt_spec& spec) -> wire::attempt_open;
/// Reads a try's description; numbers out of range are brought into it.
[[nodiscard]] auto from_wire(const wire::attempt_open& open) -> attempt_spec;
/// Writes a refusal for the wire.
[[nodiscard]] auto to_wire(const refusal& why) -> wire::attempt_refused;
/// Reads a refusal; one that doesn't say otherwise may have run.
[[nodiscard]] auto from_wire(const wire::attempt_refused& refused) -> refusal;
/// Writes a load word for the wire.
[[nodiscard]] auto to_wire(const upstream_load& load) -> wire::load_report;
/// Reads a load word.
[[nodiscard]] auto from_wire(const wire::load_report& report) -> upstream_load;
/// Writes a service call for the wire.
[[nodiscard]] auto to_wire(const service_spec& spec) -> wire::service_call;
/// Reads a service call, whose body is taken out of it.
[[nodiscard]] auto from_wire(wire::service_call call) -> service_spec;
/// Writes a reservation of `gateway` for the wire.
[[nodiscard]] auto to_wire(const process_id& gateway, const reserve_share& wanted)
    -> wire::gang_share_request;
/// Writes a renewal for the wire.
[[nodiscard]] auto to_wire(const process_id& gateway, const renew_share& wanted) -> wire::gang_share_request;
/// Writes a release for the wire.
[[nodiscard]] auto to_wire(const process_id& gateway, const release_share& wanted)
    -> wire::gang_share_request;
/// Reads the round that a call about a share is for.
[[nodiscard]] auto gang_of(const wire::gang_share_request& request) -> gang_key;
/// Reads a reservation; the sidecar that gets it is the one that it is for, so it names no upstream.
[[nodiscard]] auto reservation_of(const wire::gang_share_request& request) -> reserve_share;
/// Reads a renewal.
[[nodiscard]] auto renewal_of(const wire::gang_share_request& request) -> renew_share;

} // namespace dragonflymill::rpc
