#pragma once

#include "gateway/completion_request.h"
#include "http/http_session.h"

#include <memory>
#include <string>

namespace dragonflymill::gateway {

/// A request in flight. The core thread keeps this state until the request is answered.
struct exchange
{
    std::shared_ptr<http::http_session> session;   ///< Connection of the caller.
    std::uint64_t session_exchange = 0;            ///< Number of the request on its connection.
    request_id request;                            ///< Id of the request.
    std::string model;                             ///< Requested model; empty for a service call.
    std::shared_ptr<const std::string> prompt{};   ///< Prompt, shared with the attempt that sends it.
    bool stream = false;                           ///< Whether the answer is streamed as events.
    bool stream_open = false;                      ///< Whether the response header of the stream was sent.
    token_count prompt_tokens = 0;                 ///< Estimated length of the prompt.
    token_count answer_tokens = 0;                 ///< Tokens delivered so far.
    std::string answer{};                          ///< Answer so far, if it is not streamed.
    instant arrived;                               ///< Time when the request was parsed.
    length_class size = length_class::interactive; ///< Length class of the attempt opened last.
};

} // namespace dragonflymill::gateway
