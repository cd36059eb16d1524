#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>

namespace dragonflymill::http {

/// What a caller may cost us before it is cut off.
struct http_limits
{
    std::size_t max_header_bytes = 16 * 1024;        ///< Request line and header fields.
    std::size_t max_body_bytes = 8 * 1024 * 1024;    ///< Body of one request.
    std::size_t max_bodies_bytes = 96 * 1024 * 1024; ///< Bodies of all requests in hand together.
    std::size_t max_connections = 4'096; ///< Open connections; further ones get 503 and are closed.
    std::size_t max_unsent_bytes = 4 * 1024 * 1024; ///< Answer bytes a slow reader may leave waiting.
    duration header_timeout = 10s;  ///< From a connection's first byte to the end of the header.
    duration body_timeout = 60s;    ///< From the header to the end of the body.
    duration idle_timeout = 75s;    ///< Between two requests of a connection.
    duration write_timeout = 30s;   ///< For one write to make progress.
    duration comment_interval = 5s; ///< Between comments on a quiet event stream.

    friend auto operator==(const http_limits&, const http_limits&) -> bool = default;
};

} // namespace dragonflymill::http
