#pragma once

#include "http/http_limits.h"
#include "http/http_request.h"

#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// Bytes of a whole answer.
[[nodiscard]] auto response_text(const http_response& response, bool keep_alive) -> std::string;
/// Header of an answer that is a stream of server-sent events in chunks.
[[nodiscard]] auto event_stream_header(const std::vector<header_field>& fields, bool keep_alive)
    -> std::string;
/// One chunk of a chunked answer.
[[nodiscard]] auto chunk_text(std::string_view payload) -> std::string;
/// The chunk that ends a chunked answer.
[[nodiscard]] auto last_chunk_text() -> std::string;

/// An answer `{"error":{"code","ran":"no","retry_after_ms":0,"remedy"}}` for a request that went no further
/// than here.
[[nodiscard]] auto error_response(unsigned status, const std::string& code, const std::string& remedy)
    -> http_response;
/// What a caller is told whose request could not be read.
[[nodiscard]] auto unreadable_response(boost::system::error_code failure, const http_limits& limits)
    -> http_response;

} // namespace dragonflymill::http
