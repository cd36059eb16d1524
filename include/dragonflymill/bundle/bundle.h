#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Kind of backend that serves a route.
enum class upstream_kind
{
    engine,  ///< A model engine.
    service, ///< A plain service.
};

/// A failure domain and whether it is in service.
struct failure_domain_entry
{
    failure_domain_id id;   ///< Its name.
    region_id region;       ///< The region that contains it.
    bool in_service = true; ///< False while operators have drained it.

    friend auto operator==(const failure_domain_entry&, const failure_domain_entry&) -> bool = default;
};

/// One upstream as configured.
struct upstream_entry
{
    upstream_id id;                             ///< Its name.
    upstream_kind kind = upstream_kind::engine; ///< Engine or plain service.
    failure_domain_id domain;                   ///< Its failure domain.
    host_id host;                               ///< The host it runs on.
    std::string sidecar_address;                ///< IP and port of its sidecar's gRPC listener.
    std::vector<model_id> models;               ///< Models to load; empty for a service.
    token_count memory_tokens = 0;              ///< KV cache capacity, in tokens; 0 for a service.
    token_count max_outstanding = 0;  ///< Limit when warm: tokens for an engine, calls for a service.
    token_count cold_outstanding = 0; ///< Limit during cold start, in the same unit.

    friend auto operator==(const upstream_entry&, const upstream_entry&) -> bool = default;
};

/// One model.
struct model_entry
{
    model_id id;                       ///< Its name, with version.
    std::vector<adapter_id> adapters;  ///< Adapters that requests may select.
    token_count max_prompt_tokens = 0; ///< Longest accepted prompt, in tokens.

    friend auto operator==(const model_entry&, const model_entry&) -> bool = default;
};

/// One plain service's route.
struct service_route_entry
{
    route_id id;                        ///< Its name in the request path.
    std::vector<upstream_id> upstreams; ///< Upstreams that serve it.
    bool idempotent = false;            ///< Whether calls may be retried.
    duration time_limit = 10s;          ///< Timeout of a call.
    duration remember_for =
        std::chrono::minutes(10); ///< How long the outcome of a call with an idempotency key is kept.

    friend auto operator==(const service_route_entry&, const service_route_entry&) -> bool = default;
};

/// Request priority; load shedding starts with the lowest.
enum class priority
{
    doorstep,  ///< Interactive: shed last.
    standard,  ///< Default.
    overnight, ///< Batch: paused first.
};

/// One client account.
struct account_entry
{
    client_account_id id;            ///< Its name.
    std::string partner;             ///< The partner that owns the account.
    std::string key_sha256;          ///< SHA-256 of its bearer token, in lower-case hexadecimal.
    double requests_per_second = 0;  ///< Request rate limit over all gateways.
    double tokens_per_second = 0;    ///< Rate limit of prompt and generated tokens over all gateways.
    std::uint32_t max_in_flight = 0; ///< Limit of concurrent requests over all gateways.
    std::uint32_t weight = 1;        ///< Weight of its share under overload.
    priority request_priority = priority::standard; ///< Default for requests without a priority.

    friend auto operator==(const account_entry&, const account_entry&) -> bool = default;
};

/// One partner of the joint venture and the key it signs bundles with.
struct partner_entry
{
    std::string name;       ///< Its name, as referenced by accounts.
    std::string public_key; ///< Ed25519 public key, 64 lower-case hexadecimal digits; empty while unsigned.

    friend auto operator==(const partner_entry&, const partner_entry&) -> bool = default;
};

/// The complete configuration that both partners sign. Encoding, signing, splitting into sections and
/// distribution are implemented in the other files of this folder.
struct bundle
{
    bundle_version version;  ///< Strictly increasing.
    wall_instant term_end{}; ///< End of the joint venture; processes stop serving at this time.
    std::vector<failure_domain_entry> domains;       ///< Failure domains.
    std::vector<upstream_entry> upstreams;           ///< Upstreams.
    std::vector<model_entry> models;                 ///< Models.
    std::vector<service_route_entry> service_routes; ///< Routes to plain services.
    std::vector<account_entry> accounts;             ///< Client accounts.
    std::vector<partner_entry> partners;             ///< The partners that must sign.

    friend auto operator==(const bundle&, const bundle&) -> bool = default;
};

} // namespace dragonflymill
