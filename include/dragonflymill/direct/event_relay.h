#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::direct {

/// Result of parsing a piece of a server-sent event stream.
struct relayed_events
{
    std::string bytes;       ///< Complete events to forward, unchanged.
    std::size_t events = 0;  ///< Number of events in `bytes`.
    std::size_t dropped = 0; ///< Number of events that were dropped because they had been forwarded before.
    bool broken = false;     ///< An event exceeds `max_event_bytes`; the rest of the stream must not be used.

    friend auto operator==(const relayed_events&, const relayed_events&) -> bool = default;
};

/// Splits an upstream's bytes into complete events and forwards each event id once, in ascending order,
/// across any number of attempts. Incomplete events are never forwarded: an upstream may crash in the middle
/// of an event, and the bytes that follow then come from another upstream.
class event_relay
{
public:
    /// Starts after `last_id`, the last event that the caller already has; empty for a new stream.
    explicit event_relay(std::string last_id = {})
        : last_id_(std::move(last_id))
    {
    }

    /// Parses the next bytes of the current attempt.
    [[nodiscard]] auto take(std::string_view bytes) -> relayed_events;
    /// Starts a new attempt: discards the incomplete event of the previous one.
    void begin_attempt() { partial_event_.clear(); }
    /// Returns whether an incomplete event is buffered, in which case the stream must not end here.
    [[nodiscard]] auto has_partial_event() const -> bool { return !partial_event_.empty(); }
    /// Id of the last event that was forwarded; empty before the first.
    [[nodiscard]] auto last_id() const -> const std::string& { return last_id_; }

    /// Maximum size of an event in bytes. A larger one is treated as a fault of the upstream, to bound the
    /// gateway's memory.
    static constexpr std::size_t max_event_bytes = 1'048'576;

private:
    [[nodiscard]] auto is_next(std::string_view id) const -> bool;

    std::string partial_event_;
    std::string last_id_;
};

/// Returns the `id` field of an event; nothing if it has none.
[[nodiscard]] auto event_id(std::string_view event) -> std::optional<std::string_view>;

} // namespace dragonflymill::direct
