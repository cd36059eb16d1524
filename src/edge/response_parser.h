#pragma once

#include "http/http_request.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflymill::edge {

using http::header_field;

/// Head of an upstream's answer.
struct answer_head
{
    unsigned status = 0;              ///< Status.
    std::string reason;               ///< Its text.
    std::vector<header_field> fields; ///< All fields.

    /// Value of the first field with this name, in any case; empty without one.
    [[nodiscard]] auto value_of(std::string_view name) const -> std::string_view;

    friend auto operator==(const answer_head&, const answer_head&) -> bool = default;
};

/// Where an answer stands.
enum class response_state
{
    head,     ///< Its head isn't whole yet.
    body,     ///< The head is there, the body isn't whole yet.
    complete, ///< It is whole by its own framing.
    invalid,  ///< It isn't an answer in the protocol, or it broke off.
};

/// Reads one answer from the bytes of a connection. Knows nothing of sockets.
class response_parser
{
public:
    /// `no_body` for the answer to a HEAD request.
    explicit response_parser(bool no_body);

    /// Takes the next bytes. Body bytes are appended to `body`.
    auto take(std::string_view bytes, std::string& body) -> response_state;
    /// The upstream closed its side in order. An answer without a length is complete then.
    auto take_eof() -> response_state;

    /// Where it stands.
    [[nodiscard]] auto state() const -> response_state { return state_; }
    /// The head; whole from state `body` on.
    [[nodiscard]] auto head() const -> const answer_head& { return parser_.head; }
    /// Whether the end of the connection is the end of the answer.
    [[nodiscard]] auto ends_with_connection() const -> bool { return ends_with_connection_; }
    /// Whether this is an interim answer, behind which the real one follows.
    [[nodiscard]] auto is_interim() const -> bool { return head().status < first_final_status; }
    /// Bytes behind a complete answer.
    [[nodiscard]] auto excess() const -> const std::string& { return rest_; }

    /// Statuses below it announce an answer only.
    static constexpr unsigned first_final_status = 200;
    /// Longest head of an answer.
    static constexpr std::uint32_t max_head_bytes = 65'536;

private:
    /// The library's parser, with the answer's parts gathered.
    class parser : public boost::beast::http::basic_parser<false>
    {
    public:
        answer_head head;
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
    };

    parser parser_;
    std::string rest_;
    response_state state_ = response_state::head;
    bool ends_with_connection_ = false;
};

} // namespace dragonflymill::edge
