#pragma once

#include "http/http_request.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflymill::http {

/// Status line and header fields of an upstream's response.
struct response_head
{
    unsigned status = 0;              ///< Status code.
    std::string reason;               ///< Reason phrase.
    std::vector<header_field> fields; ///< All header fields, in order.

    /// Value of the first field with this name, compared case-insensitively; empty if there is none.
    [[nodiscard]] auto value_of(std::string_view name) const -> std::string_view;

    friend auto operator==(const response_head&, const response_head&) -> bool = default;
};

/// Size limits of a response.
struct response_limits
{
    /// Bytes of a head, of all interim responses before it, and between two chunks. Bounds what is kept.
    std::uint32_t head_bytes = 65'536;
    std::optional<std::uint64_t> body_bytes; ///< Bytes of the body; no limit by default.
};

/// Progress of parsing a response.
enum class response_state
{
    head,     ///< The head is incomplete.
    body,     ///< The head is complete, the body isn't.
    complete, ///< The response is complete according to its framing.
    invalid,  ///< Not valid HTTP/1.1, over a size limit, or truncated.
};

/// Incremental parser of a single HTTP/1.1 response, which skips interim (1xx) responses before it. Does no
/// I/O.
class response_parser
{
public:
    /// `no_body` is set for the response to a HEAD request, which has no body whatever its framing says.
    explicit response_parser(bool no_body, const response_limits& limits = {});

    /// Parses the next bytes and appends decoded body bytes to `body`.
    auto take(std::string_view bytes, std::string& body) -> response_state;
    /// Handles an orderly close by the upstream, which completes a close-delimited response and truncates any
    /// other.
    auto take_eof() -> response_state;

    [[nodiscard]] auto state() const -> response_state { return state_; }
    /// Complete from state `body` on.
    [[nodiscard]] auto head() const -> const response_head& { return parser_->head; }
    /// Whether the body ends with the connection, as it has neither a length nor chunks.
    [[nodiscard]] auto is_close_delimited() const -> bool { return is_close_delimited_; }
    /// Bytes received after the end of a complete response, or from what is invalid on.
    [[nodiscard]] auto unparsed_bytes() const -> const std::string& { return rest_; }

private:
    /// Beast's parser, collecting the head and appending body bytes to `body`.
    class parser : public boost::beast::http::basic_parser<false>
    {
    public:
        parser();

        response_head head;
        std::string* body = nullptr;

    private:
        using error_code = boost::beast::error_code;
        using string_view = boost::beast::string_view;
        using field_name = boost::beast::http::field;
        using verb = boost::beast::http::verb;

        void on_request_impl(verb, string_view, string_view, int, error_code&) override {}
        void on_response_impl(int code, string_view reason, int version, error_code& failed) override;
        void on_field_impl(field_name known, string_view name, string_view value,
                           error_code& failed) override;
        void on_header_impl(error_code& failed) override;
        void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& failed) override;
        auto on_body_impl(string_view bytes, error_code& failed) -> std::size_t override;
        void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& failed) override;
        auto on_chunk_body_impl(std::uint64_t remain, string_view bytes, error_code& failed)
            -> std::size_t override;
        void on_finish_impl(error_code& failed) override;

        bool header_complete_ = false;
    };

    void begin();
    /// Parses bytes and returns how many of them are done with.
    auto parse(std::string_view bytes, std::string& body) -> std::size_t;
    /// Whether this is an interim (1xx) response; the final one follows it.
    [[nodiscard]] auto is_interim() const -> bool { return head().status < first_final_status; }

    /// Status codes below this one are interim responses.
    static constexpr unsigned first_final_status = 200;

    bool no_body_;
    response_limits limits_;
    std::optional<parser> parser_;
    std::string rest_;
    std::size_t interim_bytes_ = 0;
    response_state state_ = response_state::head;
    bool is_close_delimited_ = false;
};

} // namespace dragonflymill::http
