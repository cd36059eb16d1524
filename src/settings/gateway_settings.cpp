#include "settings/gateway_settings.h"

namespace dragonflymill {

namespace {

constexpr std::uint64_t kibibyte = 1U << 10U;
constexpr std::uint64_t mebibyte = 1U << 20U;
constexpr std::uint64_t gibibyte = 1U << 30U;
constexpr setting_range<std::uint64_t> ring_range{16, 1'048'576};

void bind_timeouts(settings_schema& schema, caller_timeouts& target)
{
    schema.time({"timeouts", "header", "for the whole header of a request"}, target.header, {100ms, 60s});
    schema.time({"timeouts", "body", "without a further byte of a request's body"}, target.body,
                {100ms, std::chrono::minutes(10)});
    schema.time({"timeouts", "idle", "between two requests of a connection"}, target.idle,
                {1s, std::chrono::hours(1)});
    schema.time({"timeouts", "request", "for a request from its header to the end of its answer"},
                target.request, {100ms, std::chrono::hours(24)});
    schema.rule({"timeouts", "header", "the header's time is longer than the request's",
                 "make it at most timeouts.request", [&target] { return target.header <= target.request; }});
}

void bind_limits(settings_schema& schema, caller_limits& target)
{
    schema.size({"limits", "max_header", "largest header of a request"}, target.max_header,
                {kibibyte, mebibyte});
    schema.size({"limits", "max_body", "largest body of a request"}, target.max_body, {kibibyte, gibibyte});
    schema.size({"limits", "max_bodies",
                 "memory held for callers: heads, bodies, unsent answers, connections; incomplete requests "
                 "give way, then further ones are refused"},
                target.max_bodies, {kibibyte, 64 * gibibyte});
    schema.rule({"limits", "max_bodies", "a body of the largest size allowed would never be taken",
                 "make it at least limits.max_body",
                 [&target] { return target.max_bodies >= target.max_body; }});
    schema.count({"limits", "max_connections",
                  "open connections of callers; the longest idle one gives way to another"},
                 target.max_connections, {1, 1'000'000});
}

void bind_rings(settings_schema& schema, gateway_rings& target)
{
    schema.count({"rings", "requests", "requests that wait to be routed at most; further ones are refused"},
                 target.requests, ring_range);
    schema.count({"rings", "deliveries", "events of streams that wait for their caller at most"},
                 target.deliveries, ring_range);
}

} // namespace

auto gateway_schema(gateway_settings& target) -> settings_schema
{
    settings_schema schema;
    bind(schema, target.process, target.log);
    schema.address({"listen", "http", "address at which callers connect"}, target.http_listen,
                   presence::required);
    schema.address({"listen", "admin", "address of status, drain and bundle pushes; none if missing"},
                   target.admin_listen);
    bind(schema, target.bundle);
    bind_timeouts(schema, target.timeouts);
    bind_limits(schema, target.limits);
    bind_rings(schema, target.rings);
    schema.time(
        {"overload", "drain_time",
         "up to this time to work off what is queued at a model's upstreams, nothing is refused or paused "
         "for overload"},
        target.overload_drain_time, {1s, std::chrono::hours(1)});
    bind(schema, target.heartbeat);
    schema.time({"stop", "drain_lag", "time that the balancer takes to notice that a gateway is not ready"},
                target.drain_lag, {duration::zero(), std::chrono::minutes(10)});
    schema.path({"once", "key_file", "file with the key of the tickets' seal; the same everywhere"},
                target.ticket_key_file, presence::required);
    bind(schema, target.control);
    bind(schema, target.log);
    bind(schema, target.timeline);
    return schema;
}

} // namespace dragonflymill
