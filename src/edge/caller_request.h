#pragma once

#include "dragonflymill/core/error.h"
#include "http/response_parser.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::edge {

using http::header_field;

/// A complete request of a caller.
struct caller_request
{
    std::string method;               ///< Method as received.
    std::string target;               ///< Path and query as received.
    std::vector<header_field> fields; ///< All header fields as received.
    std::string body;                 ///< Complete body, without chunk framing.
    bool keep_alive = true;           ///< Whether the connection is persistent.
    bool is_http_1_0 = false;         ///< The response must not use chunked encoding.

    /// Value of the first field with this name, compared case-insensitively; empty if there is none.
    [[nodiscard]] auto value_of(std::string_view name) const -> std::string_view;
    /// Number of fields with this name, compared case-insensitively.
    [[nodiscard]] auto count_of(std::string_view name) const -> int;
    /// The target without its query.
    [[nodiscard]] auto path() const -> std::string_view;

    friend auto operator==(const caller_request&, const caller_request&) -> bool = default;
};

/// Whether a header field is hop-by-hop and must not be forwarded. `connection` is the value of the message's
/// Connection field, which may list further hop-by-hop fields.
[[nodiscard]] auto is_hop_by_hop(std::string_view name, std::string_view connection) -> bool;

/// Whether the framing fields of a request determine its end unambiguously, and it has exactly one Host
/// field. Other requests are rejected, since two parsers could see different body ends (request smuggling).
[[nodiscard]] auto has_unambiguous_framing(const caller_request& request) -> bool;

} // namespace dragonflymill::edge
