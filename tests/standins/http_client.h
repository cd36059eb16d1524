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

/// One call to an HTTP server on 127.0.0.1 or another IP address.
struct http_call
{
    std::string address;               ///< "127.0.0.1:80"
    std::string method = "GET";        ///< Method.
    std::string target = "/";          ///< Path and query.
    std::vector<http_field> headers{}; ///< Besides host and length.
    std::string body{};                ///< Body.
    duration time_limit = 30s;         ///< For the whole call.
};

/// What came back.
struct http_answer
{
    unsigned status = 0;               ///< 0 if no status line came.
    std::vector<http_field> headers{}; ///< Names in lower case.
    std::string body{};                ///< Empty if the pieces were handed out while they came.
    std::string failure{};             ///< Empty if the answer is whole.
};

/// Called with pieces of the body as they come.
using data_callback = std::function<void(std::string_view)>;
/// Called once at the end.
using answer_callback = std::function<void(const http_answer&)>;

/// Starts a call on a connection of its own. Without `on_data` the body is in the answer.
void start_call(boost::asio::io_context& io, std::shared_ptr<const http_call> call, data_callback on_data,
                answer_callback on_answer);

/// Makes a call and waits for its answer.
[[nodiscard]] auto call_and_wait(const http_call& call) -> http_answer;

} // namespace dragonflymill::standins
