#pragma once

#include "gateway/completion_request.h"
#include "http/http_session.h"

#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// A caller's request in hand, as the deciding thread keeps it to answer it.
struct exchange
{
    std::shared_ptr<http::http_session> session;   ///< The caller's connection.
    std::uint64_t session_exchange = 0;            ///< The connection's number for the request.
    request_id request;                            ///< Its name.
    std::string model;                             ///< Model asked for; empty for a service call.
    std::shared_ptr<const std::string> prompt{};   ///< The prompt, shared with the try that sends it.
    bool stream = false;                           ///< Whether the answer comes as events.
    bool stream_open = false;                      ///< Whether the stream's header was sent.
    token_count prompt_tokens = 0;                 ///< Estimated length of the prompt.
    token_count answer_tokens = 0;                 ///< Tokens given so far.
    std::string answer{};                          ///< The answer so far, if it doesn't come as events.
    instant arrived;                               ///< When it came.
    length_class size = length_class::interactive; ///< Class of the running try.
};

} // namespace dragonflymill::gateway
