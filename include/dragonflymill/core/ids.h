#pragma once

#include "dragonflymill/core/strong_id.h"

namespace dragonflymill {

/// One back end: a model engine or a plain service, with its sidecar beside it.
using upstream_id = name_id<struct upstream_tag>;
/// A set of hosts that fail, or are taken out of service, together.
using failure_domain_id = name_id<struct failure_domain_tag>;
/// One machine.
using host_id = name_id<struct host_tag>;
/// Failure domains that are close to each other.
using region_id = name_id<struct region_tag>;
/// A customer of one of the partners.
using client_account_id = name_id<struct client_account_tag>;
/// A model version.
using model_id = name_id<struct model_tag>;
/// An adapter on a model.
using adapter_id = name_id<struct adapter_tag>;
/// A way through the system that operators set up: a model, or a plain service.
using route_id = name_id<struct route_tag>;
/// One process of ours, by its name in the settings.
using process_id = name_id<struct process_tag>;
/// One request of a caller, unique over all gateways.
using request_id = name_id<struct request_tag>;

/// Number of a try at a request; a later try has a higher number.
using attempt_number = number_id<struct attempt_tag>;
/// Number of a start of a process or an engine; differs from every earlier start.
using incarnation = number_id<struct incarnation_tag>;
/// Number of a lease, unique within the process that granted it.
using lease_id = number_id<struct lease_tag>;
/// Version of a configuration bundle; only ever rises.
using bundle_version = number_id<struct bundle_version_tag>;
/// Number that an engine uses to refuse orders older than the newest it has seen.
using fencing_number = number_id<struct fencing_tag>;

} // namespace dragonflymill
