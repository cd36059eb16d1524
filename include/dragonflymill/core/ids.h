#pragma once

#include "dragonflymill/core/strong_id.h"

namespace dragonflymill {

/// One back end: a model engine or a plain service, together with its sidecar.
using upstream_id = name_id<struct upstream_tag>;
/// A set of hosts that fail, or are taken out of service, together.
using failure_domain_id = name_id<struct failure_domain_tag>;
/// One machine.
using host_id = name_id<struct host_tag>;
/// A group of failure domains that are close to each other.
using region_id = name_id<struct region_tag>;
/// A customer of one of the partners.
using client_account_id = name_id<struct client_account_tag>;
/// A model version.
using model_id = name_id<struct model_tag>;
/// An adapter for a model.
using adapter_id = name_id<struct adapter_tag>;
/// A configured route to a model or a plain service.
using route_id = name_id<struct route_tag>;
/// A dragonflymill process, by its name in the settings.
using process_id = name_id<struct process_tag>;
/// One client request; unique across all gateways.
using request_id = name_id<struct request_tag>;

/// Number of an attempt at a request; later attempts have higher numbers.
using attempt_number = number_id<struct attempt_tag>;
/// Identifies one start of a process or engine; differs from every earlier start.
using incarnation = number_id<struct incarnation_tag>;
/// Number of a lease, unique within the process that granted it.
using lease_id = number_id<struct lease_tag>;
/// Version of a configuration bundle; monotonically increasing.
using bundle_version = number_id<struct bundle_version_tag>;
/// Fencing number: an engine rejects orders with a number lower than the highest it has seen.
using fencing_number = number_id<struct fencing_tag>;

} // namespace dragonflymill
