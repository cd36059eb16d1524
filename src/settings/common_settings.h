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

/// Who this process is and where it stands.
struct process_settings
{
    process_id name;                  ///< Its name, unique in the fleet.
    host_id host;                     ///< The host it runs on.
    failure_domain_id failure_domain; ///< The failure domain of that host.
    region_id region;                 ///< The region of that failure domain.

    friend auto operator==(const process_settings&, const process_settings&) -> bool = default;
};

/// Where the configuration comes from when the process starts.
struct bundle_settings
{
    std::string file;                    ///< Bundle to start from; empty for none.
    std::uint64_t min_version = 0;       ///< No bundle below it is ever adopted.
    std::vector<partner_entry> partners; ///< Who must sign a bundle, with their public keys.

    friend auto operator==(const bundle_settings&, const bundle_settings&) -> bool = default;
};

/// Heartbeats on the connections between gateways and sidecars.
struct heartbeat_settings
{
    duration interval = 500ms; ///< Quiet on a connection with work on it after which one is sent.
    std::uint64_t misses = 3;  ///< Intervals of quiet after which a connection with work is replaced.
    duration renewal = 15s;    ///< Longest time without a word to a sidecar that holds work.

    friend auto operator==(const heartbeat_settings&, const heartbeat_settings&) -> bool = default;
};

/// Traffic between our processes besides requests.
struct control_settings
{
    socket_address udp_listen;            ///< Address of the membership's datagrams.
    socket_address peer_listen;           ///< Address at which peers read bundle sections.
    std::vector<socket_address> seeds;    ///< UDP addresses of processes to join through.
    socket_address configuration_service; ///< The platform's configuration service.
    socket_address host_list;             ///< The platform's list of hosts.
    std::string key_file;                 ///< File with the key that authenticates datagrams.
    bool standalone = false;              ///< Whether it may start without hearing any peer.

    friend auto operator==(const control_settings&, const control_settings&) -> bool = default;
};

/// The time line of this process.
struct timeline_settings
{
    std::string file;          ///< File to write; empty for none.
    std::uint64_t ring = 8192; ///< Events that wait for the writer at most.

    friend auto operator==(const timeline_settings&, const timeline_settings&) -> bool = default;
};

/// Adds the keys of [process]; the name goes into every line of the log as well.
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
