#pragma once

#include "dragonflymill/core/time.h"
#include "standins/http_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::standins {

/// One HTTP request and the server to send it to.
struct http_call
{
    std::string address;               ///< IP address and port, such as "127.0.0.1:80".
    std::string method = "GET";        ///< Request method.
    std::string target = "/";          ///< Request target: path and query.
    std::vector<http_field> headers{}; ///< Header fields besides Host, Content-Length and Connection.
    std::string body{};                ///< Request body.
    duration time_limit = 30s;         ///< Timeout of the whole call, with connecting.
};

/// The response to a call.
struct http_answer
{
    unsigned status = 0;               ///< HTTP status; 0 if no response head was received.
    std::vector<http_field> headers{}; ///< Header fields, names in lower case.
    std::string body{};                ///< Response body; empty if it was passed to `on_data`.
    std::string failure{};             ///< Cause of an incomplete response; empty if it is complete.
};

/// Receives parts of the response body as they arrive.
using data_callback = std::function<void(std::string_view)>;
/// Called once, when the call has completed or failed.
using answer_callback = std::function<void(const http_answer&)>;

/// Starts a call on a new connection. Without `on_data` the body is collected in the response.
void start_call(boost::asio::io_context& io, std::shared_ptr<const http_call> call, data_callback on_data,
                answer_callback on_answer);

/// Makes a call and blocks until it has completed or failed.
[[nodiscard]] auto call_and_wait(const http_call& call) -> http_answer;

} // namespace dragonflymill::standins
