#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::direct {

/// What a piece of a stream came to.
struct relayed_events
{
    std::string bytes;       ///< Whole events that are to be passed on, as they came.
    std::size_t events = 0;  ///< How many there are in `bytes`.
    std::size_t dropped = 0; ///< Events that had been passed on before.
    bool broken = false;     ///< The stream isn't one of events in rising order; nothing after may be used.

    friend auto operator==(const relayed_events&, const relayed_events&) -> bool = default;
};

/// Cuts an upstream's bytes into whole events and lets each id through once, in rising order, over any number
/// of attempts. An upstream may die in the middle of an event: a part of an event is never passed on, since
/// what follows comes from another upstream.
class event_relay
{
public:
    /// Ids up to `last_id` are at the caller already; empty for a stream from its start.
    explicit event_relay(std::string last_id = {})
        : last_id_(std::move(last_id))
    {
    }

    /// Takes the next bytes of the current attempt.
    [[nodiscard]] auto take(std::string_view bytes) -> relayed_events;
    /// A new attempt begins: forgets the part of an event that the last one left.
    void begin_attempt() { rest_.clear(); }
    /// Whether a part of an event is left, so that the stream can't end here.
    [[nodiscard]] auto has_partial_event() const -> bool { return !rest_.empty(); }
    /// Id of the last event passed on; empty before the first.
    [[nodiscard]] auto last_id() const -> const std::string& { return last_id_; }

    /// Longest event; a longer one is taken for a fault of the upstream, so that it can't fill our memory.
    static constexpr std::size_t max_event_bytes = 1'048'576;

private:
    [[nodiscard]] auto is_next(std::string_view id) const -> bool;

    std::string rest_;
    std::string last_id_;
};

/// Id that an event bears; nothing without one.
[[nodiscard]] auto event_id(std::string_view event) -> std::optional<std::string_view>;

} // namespace dragonflymill::direct
