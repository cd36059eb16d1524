#include "dragonflymill/response/event_parser.h"

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <charconv>
#include <utility>

namespace dragonflymill::response {

namespace {

constexpr std::string_view status_line_prefix = "HTTP/1.";

/// Releases what a long event or a burst of events took.
void release_unused(std::string& buffer)
{
    if (buffer.capacity() > event_parser::retained_bytes &&
        buffer.size() <= event_parser::retained_bytes / 2) {
        buffer.shrink_to_fit();
    }
}

} // namespace

auto parse_event_id(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || failed != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

void event_parser::begin_response(std::optional<std::uint64_t> after)
{
    const std::string_view written_line_end = written_line_end_;
    *this = event_parser(std::move(format_));
    written_line_end_ = written_line_end;
    id_before_last_ = after;
}

void event_parser::feed(std::string_view bytes)
{
    if (fault_ != response_fault::none) {
        return;
    }
    buffer_.append(bytes);
}

auto event_parser::next() -> std::optional<parsed_event>
{
    while (fault_ == response_fault::none) {
        const std::size_t line_end = buffer_.find('\n', scanned_);
        if (line_end == std::string::npos) {
            scanned_ = buffer_.size();
            discard_complete_events();
            check_size();
            return std::nullopt;
        }
        std::string_view line = std::string_view(buffer_).substr(line_begin_, line_end - line_begin_);
        const bool has_return = line.ends_with('\r');
        line.remove_suffix(has_return ? 1 : 0);
        const std::string_view own_end = has_return ? "\r\n" : "\n";
        line_end_ = line_end_.empty() ? own_end : line_end_;
        if (!line.empty()) {
            take_line(line);
        }
        if (fault_ == response_fault::none && own_end != line_end_) {
            // A client that splits at one kind of line end only would join events.
            fail(response_fault::malformed_line, line_begin_);
        }
        if (fault_ != response_fault::none) {
            return std::nullopt;
        }
        line_begin_ = scanned_ = line_end + 1;
        if (!line.empty()) {
            continue;
        }
        const std::optional<std::uint64_t> id = id_;
        const bool is_event = complete_event();
        if (fault_ != response_fault::none) {
            return std::nullopt;
        }
        const std::size_t block_bytes = line_begin_ - event_begin_;
        event_begin_ = line_begin_;
        if (is_event) {
            skipped_bytes_ = 0;
            return parsed_event{event_text_, id};
        }
        skipped_bytes_ += block_bytes;
    }
    return std::nullopt;
}

void event_parser::take_line(std::string_view line)
{
    // A carriage return alone ends a line for clients, so that they may see other fields than this parser.
    if (line.find('\r') != std::string_view::npos) {
        fail(response_fault::malformed_line, line_begin_);
        return;
    }
    // With other lines, a comment may be what is left of one of them, or of the blank line between two
    // events.
    const bool is_comment = line.starts_with(':');
    if (is_comment ? lines_ > 0 : has_comment_) {
        fail(response_fault::malformed_line, line_begin_);
        return;
    }
    if (is_comment) {
        has_comment_ = true;
        return;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    const bool is_first = lines_++ == 0;
    if (name == "id") {
        take_id(value);
    }
    else if (name == "data" || name == "event" || name == "retry") {
        // A name alone may be what is left of a line.
        has_data_ = has_data_ || (name == "data" && colon < line.size());
        append_field(name, value);
    }
    else {
        take_other_field(line, name, is_first);
    }
}

void event_parser::take_other_field(std::string_view line, std::string_view name, bool is_first)
{
    const auto& known = format_.leading_fields;
    if (is_first && std::find(known.begin(), known.end(), name) != known.end()) {
        text_.append(line).append(line_end_);
        return;
    }
    const bool is_status_line = line.starts_with(status_line_prefix);
    fail(is_status_line ? response_fault::second_response : response_fault::malformed_line, line_begin_);
}

void event_parser::append_field(std::string_view name, std::string_view value)
{
    text_.append(name).append(": ").append(value).append(line_end_);
}

void event_parser::take_id(std::string_view value)
{
    const auto number = parse_event_id(value);
    if (id_ || !number) {
        fail(response_fault::invalid_id, line_begin_);
        return;
    }
    id_ = number;
    append_field("id", std::to_string(*number));
}

auto event_parser::complete_event() -> bool
{
    const bool is_event = has_data_ || id_;
    if (line_begin_ - event_begin_ > max_event_bytes) {
        fail(response_fault::oversized_event, event_begin_);
    }
    else if (is_event && !id_ && format_.numbered) {
        fail(response_fault::missing_id, event_begin_);
    }
    else if (is_event && !has_data_ && format_.numbered) {
        fail(response_fault::missing_data, event_begin_);
    }
    else if (id_) {
        check_order(*id_);
    }
    if (is_event && fault_ == response_fault::none) {
        write_event();
    }
    text_.clear();
    lines_ = 0;
    has_comment_ = false;
    has_data_ = false;
    id_.reset();
    return is_event;
}

void event_parser::discard_complete_events()
{
    buffer_.erase(0, event_begin_);
    line_begin_ -= event_begin_;
    scanned_ -= event_begin_;
    event_begin_ = 0;
    event_text_.clear();
    release_unused(buffer_);
    release_unused(text_);
    release_unused(event_text_);
}

void event_parser::write_event()
{
    event_text_ = text_.append(line_end_);
    written_line_end_ = written_line_end_.empty() ? line_end_ : written_line_end_;
    if (written_line_end_ != line_end_) {
        boost::algorithm::replace_all(event_text_, line_end_, written_line_end_);
    }
}

void event_parser::check_order(std::uint64_t id)
{
    if (last_id_ && id <= *last_id_) {
        fail(response_fault::descending_id, event_begin_);
        last_id_doubtful_ = id < *last_id_ && (!id_before_last_ || id > *id_before_last_);
        return;
    }
    if (last_id_) {
        id_before_last_ = last_id_;
    }
    last_id_ = id;
}

void event_parser::check_size()
{
    const std::size_t partial = buffer_.size() - event_begin_;
    if (partial > max_event_bytes) {
        fail(response_fault::oversized_event, event_begin_);
    }
    else if (skipped_bytes_ + partial > max_event_bytes) {
        fail(response_fault::no_event, event_begin_);
    }
}

void event_parser::fail(response_fault fault, std::size_t begin)
{
    fault_ = fault;
    fault_begin_ = begin;
}

auto event_parser::faulty_bytes() const -> std::string_view
{
    return fault_ == response_fault::none ? std::string_view()
                                          : std::string_view(buffer_).substr(fault_begin_);
}

auto event_parser::is_inside_event() const -> bool
{
    const bool partial_line = line_begin_ < buffer_.size() && buffer_[line_begin_] != ':';
    return lines_ > 0 || partial_line;
}

} // namespace dragonflymill::response
