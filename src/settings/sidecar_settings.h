#pragma once

#include "settings/common_settings.h"

namespace dragonflymill {

/// The upstream beside which a sidecar stands.
struct upstream_settings
{
    upstream_id id;                  ///< Its name in the bundle.
    socket_address address;          ///< Its own HTTP address.
    duration connect_timeout = 1s;   ///< For opening a connection to it.
    duration state_interval = 250ms; ///< Between two readings of its state.
    duration stream_silence = 2s;    ///< Shortest silence of a stream that counts as lost.
    duration first_token{0}; ///< First-token time of an empty prompt when warm; 0 if it was not measured.
    double prefill_rate = 0; ///< Tokens of prefill a second when warm; 0 if it was not measured.

    friend auto operator==(const upstream_settings&, const upstream_settings&) -> bool = default;
};

/// Leases that a sidecar grants and holds.
struct lease_settings
{
    duration permit = 40s;         ///< How long a permit holds without renewal.
    duration order = 5s;           ///< How long the right to give orders holds.
    duration cancel_retry = 200ms; ///< Between two cancels that the engine has not confirmed.

    friend auto operator==(const lease_settings&, const lease_settings&) -> bool = default;
};

/// The record of calls that may not be repeated.
struct once_settings
{
    std::uint64_t max_bytes = 32U << 20U; ///< Bytes of records and stored answers.
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

/// The keys of a sidecar's settings, bound to `target`, which must outlive the schema.
[[nodiscard]] auto sidecar_schema(sidecar_settings& target) -> settings_schema;

} // namespace dragonflymill
