#include "dragonflymill/direct/event_relay.h"

#include <charconv>

namespace dragonflymill::direct {

namespace {

/// Returns the offset behind the blank line that ends the first event in `bytes`; npos if it is incomplete.
auto end_of_event(std::string_view bytes) -> std::size_t
{
    std::size_t line = 0;
    while (line < bytes.size()) {
        const std::size_t line_end = bytes.find('\n', line);
        if (line_end == std::string_view::npos) {
            return std::string_view::npos;
        }
        const bool blank = line_end == line || (line_end == line + 1 && bytes[line] == '\r');
        if (blank) {
            return line_end + 1;
        }
        line = line_end + 1;
    }
    return std::string_view::npos;
}

auto parse_id(std::string_view id) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (failed != std::errc() || end != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

auto event_id(std::string_view event) -> std::optional<std::string_view>
{
    constexpr std::string_view name = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        std::size_t end = event.find('\n', line);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view text = event.substr(line, end - line);
        if (text.starts_with(name)) {
            text.remove_prefix(name.size());
            if (text.starts_with(' ')) {
                text.remove_prefix(1);
            }
            if (text.ends_with('\r')) {
                text.remove_suffix(1);
            }
            return text;
        }
        line = end + 1;
    }
    return std::nullopt;
}

auto event_relay::take(std::string_view bytes) -> relayed_events
{
    relayed_events relayed;
    partial_event_.append(bytes);
    std::string_view left = partial_event_;
    for (std::size_t end = end_of_event(left); end != std::string_view::npos; end = end_of_event(left)) {
        const std::string_view event = left.substr(0, end);
        const auto id = event_id(event);
        if (id && !is_next(*id)) {
            ++relayed.dropped;
        }
        else {
            relayed.bytes.append(event);
            ++relayed.events;
            if (id) {
                last_id_ = *id;
            }
        }
        left.remove_prefix(end);
    }
    partial_event_.erase(0, partial_event_.size() - left.size());
    relayed.broken = partial_event_.size() > max_event_bytes;
    return relayed;
}

auto event_relay::is_next(std::string_view id) const -> bool
{
    const auto number = parse_id(id);
    const auto last = parse_id(last_id_);
    if (!number || !last) {
        return id != last_id_ || last_id_.empty();
    }
    return *number > *last;
}

} // namespace dragonflymill::direct
