#pragma once

#include "dragonflymill/core/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::edge {

/// An engine that reads a part of another one's prompt.
struct helper_reference
{
    std::string address;     ///< IP and port.
    std::string reservation; ///< Name of the memory reserved there; empty without one.

    friend auto operator==(const helper_reference&, const helper_reference&) -> bool = default;
};

/// Names of the header fields by which callers, gateways and upstreams tell each other about a request. They
/// belong to the outside systems; the adapter of a deployment fills them in.
struct header_names
{
    std::string request_id;        ///< Unique for each try of a caller; upstreams echo it.
    std::string time_left_ms;      ///< For how many milliseconds the answer is still wanted.
    std::string account;           ///< Client account, told to upstreams.
    std::string expected_upstream; ///< Id of the only upstream that may run the request.
    std::string not_run;           ///< In an upstream's answer: it has not run the request and won't.
    std::string at_fault;          ///< In a refusal: the upstream that caused it, by id or address.
    std::string token_counts; ///< Tokens of the prompt and most tokens of the answer, with a comma between.
    std::string helpers;      ///< Engines that read a part of the prompt.
    std::string engine_priority; ///< Order of admission at an engine.
    std::string resume_after;    ///< Last event that the caller has.
    std::string account_key;     ///< Key of the client account.
    std::string key_scheme;      ///< Word before the key, with its space.
    std::string ready_path;      ///< Path at which the balancer asks whether callers may come.
};

} // namespace dragonflymill::edge
