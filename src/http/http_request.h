#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// A header field of a request or an answer.
struct header_field
{
    std::string name;  ///< Field name.
    std::string value; ///< Field value.

    friend auto operator==(const header_field&, const header_field&) -> bool = default;
};

/// Value of the first of `fields` with this name, in any case; empty without one.
[[nodiscard]] auto first_value(const std::vector<header_field>& fields, std::string_view name)
    -> std::string_view;

/// A caller's request, read whole.
struct http_request
{
    std::string method;               ///< GET, POST ...
    std::string target;               ///< Path and query.
    std::vector<header_field> fields; ///< Header fields as sent.
    std::string body;                 ///< The body.

    /// Value of the first field of that name (any case), or nothing.
    [[nodiscard]] auto field(const std::string& name) const -> std::string;
    /// The target without its query.
    [[nodiscard]] auto path() const -> std::string;
    /// Token of an `Authorization: Bearer` field, or nothing.
    [[nodiscard]] auto bearer_token() const -> std::string;
};

/// An answer that is sent in one piece.
struct http_response
{
    unsigned status = 200;                         ///< Status code.
    std::string content_type = "application/json"; ///< Type of the body.
    std::vector<header_field> fields;              ///< Further fields.
    std::string body;                              ///< The body.

    friend auto operator==(const http_response&, const http_response&) -> bool = default;
};

} // namespace dragonflymill::http
