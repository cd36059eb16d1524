#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/gang/gang_messages.h"
#include "dragonflymill/route/upstream_description.h"
#include "dragonflymill/serve/attempt_spec.h"
#include "dragonflymill/serve/service_spec.h"
#include "gate.pb.h"

namespace dragonflymill::rpc {

/// Converts an attempt's specification to its wire form.
[[nodiscard]] auto to_wire(const attempt_spec& spec) -> wire::attempt_open;
/// Converts an attempt's specification from its wire form; clamps numbers that are out of range.
[[nodiscard]] auto from_wire(const wire::attempt_open& open) -> attempt_spec;
/// Converts a refusal to its wire form.
[[nodiscard]] auto to_wire(const refusal& why) -> wire::attempt_refused;
/// Converts a refusal from its wire form. An unknown code becomes `internal`.
[[nodiscard]] auto from_wire(const wire::attempt_refused& refused) -> refusal;
/// Converts an upstream's load to its wire form.
[[nodiscard]] auto to_wire(const upstream_load& load) -> wire::load_report;
/// Converts an upstream's load from its wire form; negative numbers become zero.
[[nodiscard]] auto from_wire(const wire::load_report& report) -> upstream_load;
/// Converts a service call to its wire form.
[[nodiscard]] auto to_wire(const service_spec& spec) -> wire::service_call;
/// Converts a service call from its wire form; moves its strings instead of copying them.
[[nodiscard]] auto from_wire(wire::service_call call) -> service_spec;
/// Converts a reservation by `gateway` to its wire form.
[[nodiscard]] auto to_wire(const process_id& gateway, const reserve_share& share) -> wire::gang_share_request;
/// Converts a renewal by `gateway` to its wire form.
[[nodiscard]] auto to_wire(const process_id& gateway, const renew_share& share) -> wire::gang_share_request;
/// Converts a release by `gateway` to its wire form.
[[nodiscard]] auto to_wire(const process_id& gateway, const release_share& share) -> wire::gang_share_request;
/// Returns the gang and round that a share request is for.
[[nodiscard]] auto gang_of(const wire::gang_share_request& request) -> gang_key;
/// Converts a reservation from its wire form. Its upstream is empty, as the receiving sidecar is the one
/// meant.
[[nodiscard]] auto reservation_of(const wire::gang_share_request& request) -> reserve_share;
/// Converts a renewal from its wire form; its upstream is empty too.
[[nodiscard]] auto renewal_of(const wire::gang_share_request& request) -> renew_share;

} // namespace dragonflymill::rpc
