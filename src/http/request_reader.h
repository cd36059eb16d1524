#pragma once

#include "http/caller_account.h"
#include "http/http_request.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::http {

/// Beast's body type for a string that takes no memory for a length that is only announced.
struct arriving_body
{
    using value_type = std::string;

    static auto size(const value_type& body) -> std::uint64_t { return body.size(); }

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(body)
        {
        }
        void init(const boost::optional<std::uint64_t>& /*announced*/, boost::system::error_code& failed)
        {
            failed = {};
        }
        template <class Buffers>
        auto put(const Buffers& buffers, boost::system::error_code& failed) -> std::size_t
        {
            failed = {};
            const std::size_t before = body_.size();
            for (const auto part : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(part.data()), part.size());
            }
            return body_.size() - before;
        }
        void finish(boost::system::error_code& failed) { failed = {}; }

    private:
        value_type& body_;
    };
};

/// What `request_reader` makes of the bytes so far.
enum class request_state
{
    incomplete,     ///< More bytes are needed.
    complete,       ///< `take` returns the request.
    malformed,      ///< No HTTP; see `failure`.
    head_too_large, ///< The head, a chunk's line or the trailers are over the limit.
    body_too_large, ///< The body is over the limit.
    no_memory,      ///< The account has no room for the request.
    input_lost,     ///< The rest was discarded, as too much was sent ahead.
};

/// A request that has been read, and what it holds of the connection's account.
struct read_request
{
    http_request request;     ///< The request.
    bool keep_alive = true;   ///< Whether the connection is persistent.
    bool is_http_1_0 = false; ///< Whether its version is below 1.1.
    std::size_t held = 0;     ///< Bytes of the account, to be released with the request.
};

/// Reads the requests of one connection from its bytes. Claims memory before it takes it, and no more than
/// has arrived. Without sockets and timers.
class request_reader
{
public:
    /// Limits of one request.
    struct limits
    {
        std::size_t head_bytes = 16'384; ///< Size of its head, of a chunk's line and of its trailers.
        std::size_t body_bytes = 0;      ///< Size of its body.
    };

    /// `account` must outlive the reader.
    explicit request_reader(caller_account& account)
        : account_(account)
    {
    }

    /// Begins the next request. Input that was sent ahead is kept; see `parse`.
    void begin(limits bounds);
    /// Takes bytes of the request.
    [[nodiscard]] auto receive(std::string_view bytes) -> request_state;
    /// Looks at what was sent ahead.
    [[nodiscard]] auto parse() -> request_state;
    /// Takes bytes that arrive while the previous request is being answered. Keeps the first ones and
    /// discards the others: without reading on, a client that leaves behind its input wouldn't be noticed.
    /// Returns false when more than a request of the largest size was discarded.
    [[nodiscard]] auto receive_ahead(std::string_view bytes) -> bool;
    /// Returns the complete request. `begin` must be called before further bytes are taken.
    [[nodiscard]] auto take() -> read_request;
    /// Frees all that is held for requests and input.
    void discard();

    /// Whether any byte of the request has been taken.
    [[nodiscard]] auto has_begun() const -> bool
    {
        return parser_ && (parser_->got_some() || !input_.empty());
    }
    [[nodiscard]] auto has_input() const -> bool { return !input_.empty(); }
    [[nodiscard]] auto is_head_done() const -> bool { return parser_ && parser_->is_header_done(); }
    /// Value of a field of the head; empty if it has none or isn't complete.
    [[nodiscard]] auto field(std::string_view name) const -> std::string_view;
    /// Error of a malformed request.
    [[nodiscard]] auto failure() const -> boost::system::error_code { return failure_; }

    /// Bytes that are kept of what a client sends before the previous request is answered.
    static constexpr std::size_t max_ahead_bytes = 16'384;
    /// Memory of a header field besides its text: a node of the parser's list and its allocation, or the two
    /// strings that replace them.
    static constexpr std::size_t field_bytes = 96;

private:
    using parser = boost::beast::http::request_parser<arriving_body>;

    [[nodiscard]] auto parse_from(std::string_view bytes, std::size_t& used) -> request_state;
    [[nodiscard]] auto state_after(boost::system::error_code failed) -> request_state;
    [[nodiscard]] auto claim_head(std::string_view bytes) -> bool;
    [[nodiscard]] auto claim_body(std::size_t bytes) -> bool;
    [[nodiscard]] auto keep_input(std::string_view bytes) -> bool;
    void drop_input();
    /// Makes room for `size` bytes in `text`, at most `most` unless `size` is more, and claims it.
    [[nodiscard]] auto grow(std::string& text, std::size_t size, std::size_t most, std::size_t& claimed)
        -> bool;

    caller_account& account_;
    limits limits_;
    std::optional<parser> parser_;
    std::string input_; // not parsed yet
    std::size_t input_claimed_ = 0;
    std::size_t head_claimed_ = 0;
    std::size_t head_needed_ = 0; // by the part of the head that is parsed
    std::size_t body_claimed_ = 0;
    std::size_t discarded_ = 0;
    bool input_lost_ = false;
    boost::system::error_code failure_;
};

} // namespace dragonflymill::http
