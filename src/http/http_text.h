#pragma once

#include "http/http_limits.h"
#include "http/http_request.h"

#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// Serializes a complete response.
[[nodiscard]] auto response_text(const http_response& response, bool keep_alive) -> std::string;
/// Header of a chunked response that is a stream of server-sent events.
[[nodiscard]] auto event_stream_header(const std::vector<header_field>& fields, bool keep_alive)
    -> std::string;
/// One chunk of a chunked response.
[[nodiscard]] auto chunk_text(std::string_view payload) -> std::string;
/// Last chunk of a chunked response.
[[nodiscard]] auto last_chunk_text() -> std::string;

/// Response `{"error":{"code","ran":"no","retry_after_ms":0,"remedy"}}` to a request that was not forwarded.
[[nodiscard]] auto error_response(unsigned status, const std::string& code, const std::string& remedy)
    -> http_response;
/// Error response to a request that could not be read: 408 on a timeout, 413 or 431 over a size limit, else
/// 400.
[[nodiscard]] auto unreadable_response(boost::system::error_code failure, const http_limits& limits)
    -> http_response;

} // namespace dragonflymill::http
