#pragma once

#include "dragonflymill/response/response_fault.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::response {

/// What the upstreams of a deployment send as a server-sent event.
struct event_format
{
    /// Whether each event has an id, a decimal number that increases within a response.
    bool numbered = true;
    /// Names of fields that may stand in an event's first line, besides those of the event stream format.
    std::vector<std::string> leading_fields;

    friend auto operator==(const event_format&, const event_format&) -> bool = default;
};

/// A complete event of a stream.
struct parsed_event
{
    std::string_view bytes;          ///< The event in a form that all clients read alike.
    std::optional<std::uint64_t> id; ///< Its id; always there if events are numbered.

    friend auto operator==(const parsed_event&, const parsed_event&) -> bool = default;
};

/// Parses the body of an upstream's response as a server-sent event stream and stops at the first byte that
/// can't be part of one. Does no I/O.
///
/// The event stream format tells clients to ignore what they don't know, so that nearly any text reads as
/// one. A gateway that splits the text at blank lines only would forward the remains of another response as
/// an event.
///
/// What clients read in different ways is either a fault, like a comment beside an event's lines, or written
/// anew: a field's value stands behind a colon and a space, and all lines end like the first one.
class event_parser
{
public:
    explicit event_parser(event_format format = {})
        : format_(std::move(format))
    {
    }

    /// Discards all state and starts with the body of another response. `after` is the id of the event after
    /// which it was asked to go on.
    void begin_response(std::optional<std::uint64_t> after = std::nullopt);
    /// Appends the next bytes of the body.
    void feed(std::string_view bytes);
    /// Returns the next complete event, or nothing if more bytes are needed or there is a fault. Comments and
    /// blocks without an event are skipped. The result is valid until the next call.
    [[nodiscard]] auto next() -> std::optional<parsed_event>;

    /// The first fault; the rest of the body is not parsed.
    [[nodiscard]] auto fault() const -> response_fault { return fault_; }
    /// What was received from the faulty line or event on.
    [[nodiscard]] auto faulty_bytes() const -> std::string_view;
    /// Whether an event has begun and isn't complete, so that the response must not end here.
    [[nodiscard]] auto is_inside_event() const -> bool;
    /// Whether the event before a descending id rather than the one with it is the wrong one: ids would
    /// ascend without it.
    [[nodiscard]] auto is_last_id_doubtful() const -> bool { return last_id_doubtful_; }

    /// Memory that the parser's buffers take, in bytes.
    [[nodiscard]] auto held_bytes() const -> std::size_t
    {
        return buffer_.capacity() + text_.capacity() + event_text_.capacity();
    }

    /// Maximum size of an event, and of what stands between two events, in bytes. Bounds the gateway's
    /// memory.
    static constexpr std::size_t max_event_bytes = 1'048'576;
    /// Memory that each of three buffers may keep although it isn't in use, in bytes.
    static constexpr std::size_t retained_bytes = 8'192;

private:
    void take_line(std::string_view line);
    void take_id(std::string_view value);
    /// Checks a field that the event stream format doesn't have.
    void take_other_field(std::string_view line, std::string_view name, bool is_first);
    /// Adds a field to the text of the current event.
    void append_field(std::string_view name, std::string_view value);
    /// Checks the event that a blank line has completed; returns whether there was one.
    [[nodiscard]] auto complete_event() -> bool;
    void discard_complete_events();
    /// Makes the text of a complete event, with lines that end like those of the first one.
    void write_event();
    void check_order(std::uint64_t id);
    void check_size();
    void fail(response_fault fault, std::size_t begin);

    event_format format_;
    std::string buffer_;
    std::size_t event_begin_ = 0; // offsets in `buffer_`
    std::size_t line_begin_ = 0;
    std::size_t scanned_ = 0;
    std::size_t skipped_bytes_ = 0;     // since the last event
    std::size_t lines_ = 0;             // of the current event
    std::string text_;                  // of the current event
    std::string event_text_;            // of the last event
    std::string_view line_end_;         // of the response's first line; empty before it
    std::string_view written_line_end_; // of the first event; kept over all responses
    bool has_comment_ = false;
    bool has_data_ = false;
    std::optional<std::uint64_t> id_;
    std::optional<std::uint64_t> last_id_;
    std::optional<std::uint64_t> id_before_last_;
    bool last_id_doubtful_ = false;
    response_fault fault_ = response_fault::none;
    std::size_t fault_begin_ = 0;
};

/// Parses an event id; nothing if it is no decimal number of 64 bits.
[[nodiscard]] auto parse_event_id(std::string_view text) -> std::optional<std::uint64_t>;

} // namespace dragonflymill::response
