#pragma once

#include "settings/common_settings.h"

namespace dragonflymill {

/// Timeouts for client connections.
struct caller_timeouts
{
    duration header = 10s;                      ///< To receive the whole request header.
    duration body = 60s;                        ///< To receive further bytes of a request body.
    duration idle = 75s;                        ///< Between two requests on a connection.
    duration request = std::chrono::minutes(5); ///< From the request header to the end of the response.

    friend auto operator==(const caller_timeouts&, const caller_timeouts&) -> bool = default;
};

/// Limits for client requests and connections.
struct caller_limits
{
    std::uint64_t max_header = 16U << 10U; ///< Maximum size of a request header in bytes.
    std::uint64_t max_body = 16U << 20U;   ///< Maximum size of a request body in bytes.
    std::uint64_t max_bodies = 96U << 20U; ///< Maximum memory held for clients in bytes.
    std::uint64_t max_connections = 4096;  ///< Maximum number of open client connections.

    friend auto operator==(const caller_limits&, const caller_limits&) -> bool = default;
};

/// Capacities of the ring buffers between the gateway's threads.
struct gateway_rings
{
    std::uint64_t requests = 1024;   ///< Requests waiting to be routed.
    std::uint64_t deliveries = 8192; ///< Stream events waiting for their client's thread.

    friend auto operator==(const gateway_rings&, const gateway_rings&) -> bool = default;
};

/// All settings of a gateway.
struct gateway_settings
{
    process_settings process;           ///< [process]
    socket_address http_listen;         ///< [listen] http
    socket_address admin_listen;        ///< [listen] admin
    bundle_settings bundle;             ///< [bundle]
    caller_timeouts timeouts;           ///< [timeouts]
    caller_limits limits;               ///< [limits]
    gateway_rings rings;                ///< [rings]
    duration overload_drain_time = 30s; ///< [overload] drain_time
    heartbeat_settings heartbeat;       ///< [heartbeat]
    duration drain_lag = 5s;            ///< [stop] drain_lag
    std::string ticket_key_file;        ///< [once] key_file
    log_settings log;                   ///< [log]
    timeline_settings timeline;         ///< [timeline]
    control_settings control;           ///< [control]

    friend auto operator==(const gateway_settings&, const gateway_settings&) -> bool = default;
};

/// Returns the schema of a gateway's settings file, bound to `target`, which must outlive it.
[[nodiscard]] auto gateway_schema(gateway_settings& target) -> settings_schema;

} // namespace dragonflymill
