#pragma once

#include "standins/http_client.h"
#include "standins/json_fields.h"

#include <boost/json/parse.hpp>
#include <string>

namespace dragonflymill::standins {

/// Address (IP:PORT) of a stand-in.
template <typename Standin>
[[nodiscard]] auto address_of(const Standin& standin) -> std::string
{
    return "127.0.0.1:" + std::to_string(standin.port());
}

/// Sends a GET request for `target`.
[[nodiscard]] inline auto get(const std::string& address, const std::string& target) -> http_answer
{
    return call_and_wait({address, "GET", target});
}

/// Sends a POST request with `body` to `target`; times out after `limit`.
[[nodiscard]] inline auto post(const std::string& address, const std::string& target, const std::string& body,
                               duration limit = 10s) -> http_answer
{
    return call_and_wait({address, "POST", target, {}, body, limit});
}

/// The response body as a JSON object; empty if it isn't one.
[[nodiscard]] inline auto object_of(const http_answer& answer) -> boost::json::object
{
    return parse_object(answer.body).value_or(boost::json::object{});
}

/// Whether a response is complete and has this status.
[[nodiscard]] inline auto is_whole(const http_answer& answer, unsigned status = 200) -> bool
{
    return answer.failure.empty() && answer.status == status;
}

} // namespace dragonflymill::standins
