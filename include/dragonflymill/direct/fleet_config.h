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

/// What may be repeated of a call, and in which form its answer comes.
enum class call_kind
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    streaming,      ///< Answers with a stream of events.
};

/// A service that takes a part of a route's calls.
struct weighted_service
{
    std::string service;      ///< The service's name.
    std::uint32_t weight = 1; ///< Its part, relative to the other services of the route.

    friend auto operator==(const weighted_service&, const weighted_service&) -> bool = default;
};

/// Which calls go to which services, and within which bounds.
struct route_rule
{
    std::string name;                           ///< For logs.
    std::string host;                           ///< Host that callers name, in lower case.
    std::string path_prefix;                    ///< Begins and ends with a slash.
    call_kind kind = call_kind::non_idempotent; ///< What may be repeated.
    duration time_limit{};                      ///< Longest time that a caller is kept waiting.
    duration latency_target{};              ///< An answer, or a stream's first event, is on time within it.
    duration tbt_target{};                  ///< Longest pause between two events that is on time; 0: none.
    int priority = 0;                       ///< 0 is the highest.
    std::vector<weighted_service> services; ///< Never empty.
    int max_attempts = 1;                   ///< Upstreams that one call may run at.
    bool anonymous = false;                 ///< Whether no key is asked for.
    bool resumable = false;                 ///< Whether a stream may go on at another upstream.

    /// The service that a request goes to, by its name and the services' weights: the same one at each
    /// gateway and each attempt.
    [[nodiscard]] auto service_for(std::string_view request) const -> const std::string&;
    /// Whether a call may run again.
    [[nodiscard]] auto repeatable() const -> bool
    {
        return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
    }

    friend auto operator==(const route_rule&, const route_rule&) -> bool = default;
};

/// What an engine's operator states of its speed and size. Times are of one replica at normal pace.
struct engine_profile
{
    int slots = 1;                               ///< Requests that run at once.
    std::int64_t memory_tokens = 0;              ///< Tokens that its memory holds.
    int steps_per_pass = 1;                      ///< Steps of a pass that includes a writer.
    double step_ms = 1.0;                        ///< Each token step takes so long at least.
    double step_ms_per_decode = 0.0;             ///< And so much more for each request that is writing.
    double step_ms_per_1k_context = 0.0;         ///< And so much more for each 1,000 tokens of its context.
    double prefill_tokens_per_ms = 1.0;          ///< Prompt tokens read in a millisecond.
    double attention_ms_per_million_pairs = 0.0; ///< Time for a million pairs of a token with an earlier one.
    int prefill_chunk_tokens = 0;                ///< Prompt tokens read in one step at most.

    friend auto operator==(const engine_profile&, const engine_profile&) -> bool = default;
};

/// A service and what its upstreams bear.
struct service_rule
{
    std::string name;              ///< Name.
    int max_connections = 0;       ///< Connections that one upstream accepts from all callers together.
    duration cold_time{};          ///< An upstream is cold for so long after its start.
    double cold_calls_per_s = 0.0; ///< Calls a second that a cold upstream bears; 0: it is never cold.
    std::optional<engine_profile> engine; ///< Present for model engines.

    friend auto operator==(const service_rule&, const service_rule&) -> bool = default;
};

/// A client account.
struct account_rule
{
    std::string name;              ///< Name that upstreams are told.
    std::vector<std::string> keys; ///< Keys that belong to it.
    std::optional<int> priority;   ///< Goes before the route's priority.

    friend auto operator==(const account_rule&, const account_rule&) -> bool = default;
};

/// What a caller may send and how long it may take.
struct caller_limits
{
    std::size_t header_bytes = 16'384;  ///< Longest head of a request.
    std::size_t body_bytes = 4'194'304; ///< Longest body.
    duration header_time = 3s;          ///< From the first byte of a request to the end of its head.
    duration idle_time = 15s;           ///< An idle connection is kept so long.

    friend auto operator==(const caller_limits&, const caller_limits&) -> bool = default;
};

/// The operator's whole configuration; immutable once it is made.
class fleet_config
{
public:
    /// What it is made of.
    struct parts
    {
        std::uint64_t version = 0;          ///< Rises with each change.
        std::vector<route_rule> routes;     ///< All routes.
        std::vector<service_rule> services; ///< All services.
        std::vector<account_rule> accounts; ///< All accounts.
        bool requires_api_key = false;      ///< Whether accounts are configured at all.
        caller_limits limits;               ///< For callers.
    };

    /// Indexes the parts.
    explicit fleet_config(parts whole);

    /// Its version.
    [[nodiscard]] auto version() const -> std::uint64_t { return parts_.version; }
    /// What callers may send.
    [[nodiscard]] auto limits() const -> const caller_limits& { return parts_.limits; }
    /// Whether a route that isn't anonymous asks for a key.
    [[nodiscard]] auto requires_api_key() const -> bool { return parts_.requires_api_key; }
    /// The route of this host whose prefix is the longest that begins `path`; nothing if none does.
    [[nodiscard]] auto match_route(std::string_view host, std::string_view path) const -> const route_rule*;
    /// The account that holds `key`.
    [[nodiscard]] auto find_account(const std::string& key) const -> const account_rule*;
    /// The service with this name.
    [[nodiscard]] auto find_service(const std::string& name) const -> const service_rule*;
    /// All routes.
    [[nodiscard]] auto routes() const -> const std::vector<route_rule>& { return parts_.routes; }
    /// All services.
    [[nodiscard]] auto services() const -> const std::vector<service_rule>& { return parts_.services; }
    /// The shortest pause aim of the streams that go to this service; nothing without one. Work at its
    /// engines that holds a pass up for longer makes some stream late.
    [[nodiscard]] auto tightest_tbt_target(const std::string& service) const -> std::optional<duration>;

private:
    parts parts_;
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> account_by_key_;
    std::unordered_map<std::string, std::size_t> service_by_name_;
    std::unordered_map<std::string, duration> tightest_pause_;
};

} // namespace dragonflymill::direct
