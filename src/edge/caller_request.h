#pragma once

#include "dragonflymill/core/error.h"
#include "edge/response_parser.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::edge {

/// A whole request of a caller.
struct caller_request
{
    std::string method;               ///< Method as it came.
    std::string target;               ///< Path and query as they came.
    std::vector<header_field> fields; ///< All fields as they came.
    std::string body;                 ///< Whole body, without its framing.
    bool keep_open = true;            ///< Whether the caller may use the connection again.
    bool old_protocol = false;        ///< HTTP/1.0: no chunks in the answer.

    /// Value of the first field with this name, in any case; empty without one.
    [[nodiscard]] auto value_of(std::string_view name) const -> std::string_view;
    /// Fields with this name.
    [[nodiscard]] auto count_of(std::string_view name) const -> int;
    /// The target up to its query.
    [[nodiscard]] auto path() const -> std::string_view;

    friend auto operator==(const caller_request&, const caller_request&) -> bool = default;
};

/// Whether a field concerns one connection only and is not passed on; `connection` is the value of the
/// message's Connection field, which may name more.
[[nodiscard]] auto concerns_connection(std::string_view name, std::string_view connection) -> bool;

/// Whether the framing fields of a request leave no doubt where its body ends. A request that two readers
/// could cut differently may smuggle another one in: it is refused.
[[nodiscard]] auto framing_is_clear(const caller_request& request) -> bool;

} // namespace dragonflymill::edge
