#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"
#include "log/logger.h"
#include "settings/settings_schema.h"
#include "settings/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflymill {

/// Identity and location of this process.
struct process_settings
{
    process_id name;                  ///< Process name, unique in the fleet.
    host_id host;                     ///< Host that the process runs on.
    failure_domain_id failure_domain; ///< Failure domain of that host.
    region_id region;                 ///< Region of that failure domain.

    friend auto operator==(const process_settings&, const process_settings&) -> bool = default;
};

/// The bundle at process start, and which bundles are accepted.
struct bundle_settings
{
    std::string file;                    ///< Path of the initial bundle; empty for none.
    std::uint64_t min_version = 0;       ///< Bundles with a lower version are rejected.
    std::vector<partner_entry> partners; ///< Partners that must sign a bundle, with public keys.

    friend auto operator==(const bundle_settings&, const bundle_settings&) -> bool = default;
};

/// Heartbeats on the connections between gateways and sidecars.
struct heartbeat_settings
{
    duration interval = 500ms; ///< Idle time on a connection with work in flight before a heartbeat.
    std::uint64_t misses = 3;  ///< Idle intervals after which a connection with work is replaced.
    duration renewal = 15s;    ///< Maximum time between messages to a sidecar with work in flight.

    friend auto operator==(const heartbeat_settings&, const heartbeat_settings&) -> bool = default;
};

/// Control traffic: membership, peers and the platform's services.
struct control_settings
{
    socket_address udp_listen;            ///< Address for membership datagrams.
    socket_address peer_listen;           ///< Address where peers read bundle sections.
    std::vector<socket_address> seeds;    ///< UDP addresses of processes to join the fleet through.
    socket_address configuration_service; ///< Address of the platform's configuration service.
    socket_address host_list;             ///< Address of the platform's host list.
    std::string key_file;                 ///< File with the key that authenticates datagrams.
    bool standalone = false;              ///< Whether it may start without contact to any peer.

    friend auto operator==(const control_settings&, const control_settings&) -> bool = default;
};

/// Time line (event trace) of this process.
struct timeline_settings
{
    std::string file;          ///< File to write; empty for no time line.
    std::uint64_t ring = 8192; ///< Maximum number of events queued for the writer.

    friend auto operator==(const timeline_settings&, const timeline_settings&) -> bool = default;
};

/// Adds the keys of [process]; the name is also stored in `log`, which adds it to every log line.
void bind(settings_schema& schema, process_settings& target, log_settings& log);
/// Adds the keys of [bundle].
void bind(settings_schema& schema, bundle_settings& target);
/// Adds the keys of [heartbeat].
void bind(settings_schema& schema, heartbeat_settings& target);
/// Adds the keys of [control].
void bind(settings_schema& schema, control_settings& target);
/// Adds the keys of [log].
void bind(settings_schema& schema, log_settings& target);
/// Adds the keys of [timeline].
void bind(settings_schema& schema, timeline_settings& target);

} // namespace dragonflymill
