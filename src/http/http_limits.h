#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>

namespace dragonflymill::http {

/// Size and time limits for client connections.
struct http_limits
{
    std::size_t max_header_bytes = 16 * 1024;        ///< Size of request line and header fields.
    std::size_t max_body_bytes = 8 * 1024 * 1024;    ///< Size of one request body.
    std::size_t max_bodies_bytes = 96 * 1024 * 1024; ///< Memory held for all clients, besides `growth_bytes`.
    std::size_t max_connections = 4'096; ///< Open connections; the longest idle one gives way to another.
    std::size_t max_unsent_bytes = 4 * 1024 * 1024; ///< Unsent response bytes buffered for a slow client.
    duration header_timeout = 10s;                  ///< For the first header, or one that is partly received.
    duration body_timeout = 60s;                    ///< From the end of the header to the end of the body.
    duration idle_timeout = 75s;                    ///< From a response to the end of the next header.
    duration write_timeout = 30s;                   ///< For one write to complete.
    duration comment_interval = 5s;                 ///< Between keep-alive comments on an event stream.

    /// Memory in which one request of the largest size is read whatever the limits are: a body that grows is
    /// held twice for a moment, and a head of many short fields takes a multiple of its size.
    [[nodiscard]] auto growth_bytes() const -> std::size_t
    {
        constexpr std::size_t head_factor = 64;
        return max_body_bytes + head_factor * max_header_bytes;
    }

    friend auto operator==(const http_limits&, const http_limits&) -> bool = default;
};

} // namespace dragonflymill::http
