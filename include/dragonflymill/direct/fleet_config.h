#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// Whether a call may be repeated, and the form of its response.
enum class call_kind
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    streaming,      ///< Responds with a stream of events.
};

/// A service that receives a share of a route's calls.
struct weighted_service
{
    std::string service;      ///< Name of the service.
    std::uint32_t weight = 1; ///< Weight relative to the other services of the route.

    friend auto operator==(const weighted_service&, const weighted_service&) -> bool = default;
};

/// Maps calls to services and sets their limits.
struct route_rule
{
    std::string name;                           ///< Name in logs.
    std::string host;                           ///< Host of the request, in lower case.
    std::string path_prefix;                    ///< Begins and ends with a slash.
    call_kind kind = call_kind::non_idempotent; ///< Whether calls may be repeated.
    duration time_limit{};                      ///< Maximum time until a call is answered.
    duration latency_target{};                  ///< Target time to a response or to a stream's first event.
    duration tbt_target{};                      ///< Target time between two events of a stream; 0: none.
    int priority = 0;                           ///< 0 is the highest.
    std::vector<weighted_service> services;     ///< Never empty.
    int max_attempts = 1;                       ///< Maximum number of upstreams that one call may run at.
    bool anonymous = false;                     ///< Whether calls need no API key.
    bool resumable = false;                     ///< Whether a stream may be resumed at another upstream.

    /// Returns the service for a request id, in proportion to the weights. The result is the same at each
    /// gateway and for each attempt.
    [[nodiscard]] auto service_for(std::string_view request) const -> const std::string&;
    /// Returns whether a call may run again.
    [[nodiscard]] auto repeatable() const -> bool
    {
        return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
    }

    friend auto operator==(const route_rule&, const route_rule&) -> bool = default;
};

/// Speed and size of an engine, as configured by its operator. Times are those of one replica at normal
/// speed.
struct engine_profile
{
    int slots = 1;                               ///< Maximum number of concurrent requests.
    std::int64_t memory_tokens = 0;              ///< KV cache capacity in tokens.
    int steps_per_pass = 1;                      ///< Steps of an iteration that includes a decoding request.
    double step_ms = 1.0;                        ///< Minimum time of a step, in ms.
    double step_ms_per_decode = 0.0;             ///< Additional time for each decoding request, in ms.
    double step_ms_per_1k_context = 0.0;         ///< Additional time per 1,000 tokens of its context, in ms.
    double prefill_tokens_per_ms = 1.0;          ///< Prompt tokens prefilled per millisecond.
    double attention_ms_per_million_pairs = 0.0; ///< Time in ms for a million pairs of a token with an
                                                 ///< earlier one.
    int prefill_chunk_tokens = 0;                ///< Maximum number of prompt tokens prefilled in one step.
    /// Age of what an engine reports about itself when asked; nothing: it publishes no reports.
    std::optional<duration> report_lag;

    friend auto operator==(const engine_profile&, const engine_profile&) -> bool = default;
};

/// A service and the limits of its upstreams.
struct service_rule
{
    std::string name;              ///< Name of the service.
    int max_connections = 0;       ///< Connections that one upstream accepts from all clients together.
    duration cold_time{};          ///< Time for which an upstream is cold after its start.
    double cold_calls_per_s = 0.0; ///< Maximum calls per second to a cold upstream; 0: it is never cold.
    std::optional<engine_profile> engine; ///< Set for model engines.

    friend auto operator==(const service_rule&, const service_rule&) -> bool = default;
};

/// A client account.
struct account_rule
{
    std::string name;              ///< Name that is sent to upstreams.
    std::vector<std::string> keys; ///< API keys of the account.
    std::optional<int> priority;   ///< Overrides the route's priority.

    friend auto operator==(const account_rule&, const account_rule&) -> bool = default;
};

/// Limits on what callers send.
struct caller_limits
{
    std::size_t header_bytes = 16'384;  ///< Maximum size of a request's head.
    std::size_t body_bytes = 4'194'304; ///< Maximum size of a request's body.
    duration header_time = 3s; ///< Maximum time from the first byte of a request to the end of its head.
    duration idle_time = 15s;  ///< Time after which an idle connection is closed.

    friend auto operator==(const caller_limits&, const caller_limits&) -> bool = default;
};

/// The operator's complete configuration. Immutable.
class fleet_config
{
public:
    /// Contents of a configuration.
    struct parts
    {
        std::uint64_t version = 0;          ///< Increases with each change.
        std::vector<route_rule> routes;     ///< All routes.
        std::vector<service_rule> services; ///< All services.
        std::vector<account_rule> accounts; ///< All accounts.
        bool requires_api_key = false;      ///< Whether accounts are configured at all.
        caller_limits limits;               ///< Limits for callers.
    };

    /// Builds the indexes over `contents`.
    explicit fleet_config(parts contents);

    [[nodiscard]] auto version() const -> std::uint64_t { return parts_.version; }
    /// Limits on what callers send.
    [[nodiscard]] auto limits() const -> const caller_limits& { return parts_.limits; }
    /// Whether routes that are not anonymous require an API key.
    [[nodiscard]] auto requires_api_key() const -> bool { return parts_.requires_api_key; }
    /// Returns the route of this host with the longest prefix of `path`; null if no route matches.
    [[nodiscard]] auto match_route(std::string_view host, std::string_view path) const -> const route_rule*;
    /// Returns the account that owns the API key; null if there is none.
    [[nodiscard]] auto find_account(const std::string& key) const -> const account_rule*;
    /// Returns the service with this name; null if there is none.
    [[nodiscard]] auto find_service(const std::string& name) const -> const service_rule*;
    /// All routes.
    [[nodiscard]] auto routes() const -> const std::vector<route_rule>& { return parts_.routes; }
    /// All services.
    [[nodiscard]] auto services() const -> const std::vector<service_rule>& { return parts_.services; }
    /// Returns the shortest target time between tokens of the streams that go to this service; nothing if
    /// none has a target. Work that delays an iteration of its engines for longer makes a stream miss its
    /// target.
    [[nodiscard]] auto tightest_tbt_target(const std::string& service) const -> std::optional<duration>;

private:
    parts parts_;
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> account_by_key_;
    std::unordered_map<std::string, std::size_t> service_by_name_;
    std::unordered_map<std::string, duration> tightest_tbt_target_;
};

} // namespace dragonflymill::direct
