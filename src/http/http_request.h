#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// A header field of a request or response.
struct header_field
{
    std::string name;  ///< Field name.
    std::string value; ///< Field value.

    friend auto operator==(const header_field&, const header_field&) -> bool = default;
};

/// Value of the first field named `name` (case-insensitive); empty if there is none.
[[nodiscard]] auto first_value(const std::vector<header_field>& fields, std::string_view name)
    -> std::string_view;

/// A complete HTTP request.
struct http_request
{
    std::string method;               ///< GET, POST ...
    std::string target;               ///< Path and query.
    std::vector<header_field> fields; ///< Header fields in the order received.
    std::string body;                 ///< Request body.

    /// Value of the first field named `name` (case-insensitive); empty if there is none.
    [[nodiscard]] auto field(const std::string& name) const -> std::string;
    /// Target without the query string.
    [[nodiscard]] auto path() const -> std::string;
    /// Token of the `Authorization: Bearer` field; empty if there is none.
    [[nodiscard]] auto bearer_token() const -> std::string;
};

/// A complete HTTP response.
struct http_response
{
    unsigned status = 200;                         ///< Status code.
    std::string content_type = "application/json"; ///< Media type of the body.
    std::vector<header_field> fields;              ///< Additional header fields.
    std::string body;                              ///< Response body.

    friend auto operator==(const http_response&, const http_response&) -> bool = default;
};

} // namespace dragonflymill::http
