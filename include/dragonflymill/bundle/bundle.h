#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// What stands behind a route.
enum class upstream_kind
{
    engine,  ///< A model engine.
    service, ///< A plain service.
};

/// A failure domain and whether it is in service.
struct failure_domain_entry
{
    failure_domain_id id;   ///< Its name.
    region_id region;       ///< The region it lies in.
    bool in_service = true; ///< False while operators have taken it out.

    friend auto operator==(const failure_domain_entry&, const failure_domain_entry&) -> bool = default;
};

/// One upstream as configured.
struct upstream_entry
{
    upstream_id id;                             ///< Its name.
    upstream_kind kind = upstream_kind::engine; ///< Engine or plain service.
    failure_domain_id domain;                   ///< Where it stands.
    host_id host;                               ///< The host it runs on.
    std::string sidecar_address;                ///< IP and port of its sidecar's gRPC listener.
    std::vector<model_id> models;               ///< Models it is to have loaded; none for a service.
    token_count memory_tokens = 0;              ///< KV cache, in tokens; 0 for a service.
    token_count max_outstanding = 0;  ///< Work it carries when warm: tokens of an engine, calls of a service.
    token_count cold_outstanding = 0; ///< Work it carries in cold start.

    friend auto operator==(const upstream_entry&, const upstream_entry&) -> bool = default;
};

/// One model.
struct model_entry
{
    model_id id;                       ///< Its name, with version.
    std::vector<adapter_id> adapters;  ///< Adapters that may be named with it.
    token_count max_prompt_tokens = 0; ///< Longest prompt taken.

    friend auto operator==(const model_entry&, const model_entry&) -> bool = default;
};

/// One plain service's route.
struct service_route_entry
{
    route_id id;                                      ///< Its name in the caller's path.
    std::vector<upstream_id> upstreams;               ///< Upstreams that serve it.
    bool idempotent = false;                          ///< Whether a call may be repeated.
    duration time_limit = 10s;                        ///< Longest time for a call.
    duration remember_for = std::chrono::minutes(10); ///< How long the outcome of a keyed call is kept.

    friend auto operator==(const service_route_entry&, const service_route_entry&) -> bool = default;
};

/// Order in which work is given up when there is too much.
enum class priority
{
    doorstep,  ///< A person waits: last to be given up.
    standard,  ///< Ordinary work.
    overnight, ///< May wait: first to be paused.
};

/// One client account.
struct account_entry
{
    client_account_id id;            ///< Its name.
    std::string partner;             ///< The partner whose customer it is.
    std::string key_sha256;          ///< Hash of its bearer token, in lower-case hexadecimal.
    double requests_per_second = 0;  ///< Limit over all gateways.
    double tokens_per_second = 0;    ///< Limit of prompt and generated tokens over all gateways.
    std::uint32_t max_in_flight = 0; ///< Requests at the same time over all gateways.
    std::uint32_t weight = 1;        ///< Share under overload.
    priority request_priority = priority::standard; ///< Priority where the request names none.

    friend auto operator==(const account_entry&, const account_entry&) -> bool = default;
};

/// One partner of the joint venture and the key it signs bundles with.
struct partner_entry
{
    std::string name;       ///< Its name, as accounts carry it.
    std::string public_key; ///< Ed25519 public key, 64 lower-case hexadecimal digits; empty while unsigned.

    friend auto operator==(const partner_entry&, const partner_entry&) -> bool = default;
};

/// The configuration that both partners signed, as one value. How it is written, signed, cut into sections
/// and spread is the business of the other files of this folder.
struct bundle
{
    bundle_version version;                    ///< Rises with every bundle.
    wall_instant term_end{};                   ///< End of the joint venture; nothing is served after it.
    std::vector<failure_domain_entry> domains; ///< Failure domains.
    std::vector<upstream_entry> upstreams;     ///< Upstreams.
    std::vector<model_entry> models;           ///< Models.
    std::vector<service_route_entry> service_routes; ///< Routes to plain services.
    std::vector<account_entry> accounts;             ///< Client accounts.
    std::vector<partner_entry> partners;             ///< Who has to sign.

    friend auto operator==(const bundle&, const bundle&) -> bool = default;
};

} // namespace dragonflymill
