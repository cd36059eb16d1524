#pragma once

#include "settings/common_settings.h"

namespace dragonflymill {

/// Time limits towards callers.
struct caller_timeouts
{
    duration header = 10s;                      ///< For the whole request header.
    duration body = 60s;                        ///< Without a byte of the body.
    duration idle = 75s;                        ///< Between two requests of a connection.
    duration request = std::chrono::minutes(5); ///< For a request from header to the end of its answer.

    friend auto operator==(const caller_timeouts&, const caller_timeouts&) -> bool = default;
};

/// Bounds towards callers.
struct caller_limits
{
    std::uint64_t max_header = 16U << 10U; ///< Bytes of a request header.
    std::uint64_t max_body = 16U << 20U;   ///< Bytes of a request body.
    std::uint64_t max_bodies = 96U << 20U; ///< Bytes of the bodies of all requests in hand together.
    std::uint64_t max_connections = 4096;  ///< Open connections.

    friend auto operator==(const caller_limits&, const caller_limits&) -> bool = default;
};

/// Bounds of the rings between the gateway's threads.
struct gateway_rings
{
    std::uint64_t requests = 1024;   ///< Requests that wait to be routed.
    std::uint64_t deliveries = 8192; ///< Events of streams that wait for their caller's thread.

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

/// The keys of a gateway's settings, bound to `target`, which must outlive the schema.
[[nodiscard]] auto gateway_schema(gateway_settings& target) -> settings_schema;

} // namespace dragonflymill
