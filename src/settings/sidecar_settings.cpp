#include "settings/sidecar_settings.h"

namespace dragonflymill {

namespace {

constexpr std::uint64_t mebibyte = 1U << 20U;
constexpr std::uint64_t gibibyte = 1U << 30U;

void bind_upstream(settings_schema& schema, upstream_settings& target)
{
    schema.name({"upstream", "id", "name of the upstream in the bundle"}, target.id, presence::required);
    schema.address({"upstream", "address", "the upstream's own HTTP address"}, target.address,
                   presence::required);
    schema.time({"upstream", "connect_timeout", "for opening a connection to the upstream"},
                target.connect_timeout, {10ms, 30s});
    schema.time({"upstream", "state_interval", "between two readings of the upstream's state"},
                target.state_interval, {10ms, 30s});
    schema.time(
        {"upstream", "stream_silence",
         "shortest silence of a stream after which it is cancelled and resumed; more where the line of "
         "first tokens or the usual time between tokens explains it"},
        target.stream_silence, {100ms, 120s});
    schema.time(
        {"upstream", "first_token", "first-token time of an empty prompt when warm, if it was measured"},
        target.first_token, {duration::zero(), 60s});
    schema.rate({"upstream", "prefill_rate", "tokens of prefill a second when warm, if it was measured"},
                target.prefill_rate, {0, 1e9});
}

void bind_lease(settings_schema& schema, lease_settings& target)
{
    schema.time({"lease", "permit", "how long a permit holds without renewal"}, target.permit, {100ms, 60s});
    schema.time({"lease", "order",
                 "how long a sidecar waits for its predecessor before it gives orders and runs calls by key; "
                 "the same on all hosts"},
                target.order, {100ms, std::chrono::minutes(5)});
    schema.time({"lease", "cancel_retry", "between two cancels that the engine has not confirmed"},
                target.cancel_retry, {10ms, 30s});
}

void bind_once(settings_schema& schema, once_settings& target)
{
    schema.size({"once", "max_bytes", "records and stored answers of calls that may not be repeated"},
                target.max_bytes, {mebibyte, 4 * gibibyte});
    schema.path({"once", "key_file", "file with the key of the tickets' seal; the same everywhere"},
                target.key_file, presence::required);
}

} // namespace

auto sidecar_schema(sidecar_settings& target) -> settings_schema
{
    settings_schema schema;
    bind(schema, target.process, target.log);
    bind_upstream(schema, target.upstream);
    schema.address({"listen", "grpc", "address at which gateways connect"}, target.grpc_listen,
                   presence::required);
    schema.address({"listen", "admin", "address of status, drain and bundle pushes; none if missing"},
                   target.admin_listen);
    bind(schema, target.bundle);
    bind(schema, target.heartbeat);
    bind_lease(schema, target.lease);
    schema.rule({"lease", "permit", "permits end before gateways have had two chances to renew them",
                 "make it more than twice heartbeat.renewal",
                 [&target] { return target.lease.permit > 2 * target.heartbeat.renewal; }});
    bind_once(schema, target.once);
    schema.time({"stop", "drain_lag", "time in which gateways learn that this sidecar stops"},
                target.drain_lag, {duration::zero(), std::chrono::minutes(10)});
    bind(schema, target.control);
    bind(schema, target.log);
    bind(schema, target.timeline);
    return schema;
}

} // namespace dragonflymill
