#pragma once

#include "settings/common_settings.h"

namespace dragonflymill {

/// The upstream that the sidecar serves.
struct upstream_settings
{
    upstream_id id;                  ///< Name of the upstream in the bundle.
    socket_address address;          ///< HTTP address of the upstream.
    duration connect_timeout = 1s;   ///< To open a connection to the upstream.
    duration state_interval = 250ms; ///< Between two queries of the upstream's state.
    duration stream_silence = 2s;    ///< Minimum time without events before a stream counts as stalled.
    duration first_token{0};         ///< TTFT of an empty prompt when warm; 0 if unknown.
    double prefill_rate = 0;         ///< Prefill tokens per second when warm; 0 if unknown.

    friend auto operator==(const upstream_settings&, const upstream_settings&) -> bool = default;
};

/// Leases that a sidecar grants and holds.
struct lease_settings
{
    duration permit = 40s;         ///< Lifetime of a permit without renewal.
    duration order = 5s;           ///< Term of the lease to send orders; a successor waits this long.
    duration cancel_retry = 200ms; ///< Between two cancel attempts until the engine confirms one.

    friend auto operator==(const lease_settings&, const lease_settings&) -> bool = default;
};

/// Records of calls that must not run twice (idempotency keys).
struct once_settings
{
    std::uint64_t max_bytes = 32U << 20U; ///< Maximum size of records and stored responses in bytes.
    std::string key_file;                 ///< File with the key that signs tickets.

    friend auto operator==(const once_settings&, const once_settings&) -> bool = default;
};

/// All settings of a sidecar.
struct sidecar_settings
{
    process_settings process;     ///< [process]
    upstream_settings upstream;   ///< [upstream]
    socket_address grpc_listen;   ///< [listen] grpc
    socket_address admin_listen;  ///< [listen] admin
    bundle_settings bundle;       ///< [bundle]
    heartbeat_settings heartbeat; ///< [heartbeat]
    lease_settings lease;         ///< [lease]
    once_settings once;           ///< [once]
    duration drain_lag = 2s;      ///< [stop] drain_lag
    log_settings log;             ///< [log]
    timeline_settings timeline;   ///< [timeline]
    control_settings control;     ///< [control]

    friend auto operator==(const sidecar_settings&, const sidecar_settings&) -> bool = default;
};

/// Returns the schema of a sidecar's settings file, bound to `target`, which must outlive it.
[[nodiscard]] auto sidecar_schema(sidecar_settings& target) -> settings_schema;

} // namespace dragonflymill
