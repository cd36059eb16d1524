#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/response/event_parser.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::edge {

/// An engine that prefills a part of another engine's prompt.
struct prefill_engine_reference
{
    std::string address;     ///< Address as IP:PORT.
    std::string reservation; ///< Name of the KV cache reservation there; empty if none.

    friend auto operator==(const prefill_engine_reference&, const prefill_engine_reference&)
        -> bool = default;
};

/// Names of the header fields that carry metadata of a request between callers, gateways and upstreams, and
/// the form of streamed events. They are defined by the external systems; a deployment's adapter fills them
/// in.
struct header_names
{
    std::string request_id;   ///< Unique per attempt of a caller; upstreams echo it.
    std::string time_left_ms; ///< Remaining time until the deadline, in milliseconds.
    std::string account;      ///< Client account, sent to upstreams.
    std::string
        expected_upstream;       ///< Id of the only upstream that may run the request; others must reject it.
    std::string not_run;         ///< In a response: the upstream hasn't run the request and won't.
    std::string failed_upstream; ///< In a rejection: the upstream that caused it, by id or address.
    std::string seal; ///< In a response: mark of the upstream that gave it; empty if upstreams have none.
    std::string token_counts;    ///< Prompt tokens and maximum answer tokens, separated by a comma.
    std::string prompt_parts;    ///< Parts of the prompt in order, as ID:TOKENS entries separated by commas.
    std::string prefill_engines; ///< Engines that prefill a part of the prompt.
    std::string engine_priority; ///< Admission priority at an engine.
    std::string resume_after;    ///< Id of the last event that the caller has received.
    std::string account_key;     ///< API key of the client account.
    std::string auth_scheme;     ///< Authentication scheme before the key, including the space.
    std::string ready_path;      ///< Path of the load balancer's readiness check.
    response::event_format events; ///< Form of the events that upstreams stream.
};

} // namespace dragonflymill::edge
