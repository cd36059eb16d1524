#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/route/upstream_description.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Times of the heartbeats between a gateway and one sidecar.
struct heartbeat_options
{
    duration interval = 500ms; ///< Quiet on a connection with work on it after which it has to show life.
    std::uint64_t misses = 3;  ///< Intervals of quiet after which a connection with work is replaced.
    duration renewal_interval =
        15s; ///< Longest time without a word to a sidecar that holds work of the gateway.

    /// Quiet after which a connection with work on it is given up.
    [[nodiscard]] auto silence_timeout() const -> duration
    {
        return interval * static_cast<std::int64_t>(misses);
    }
};

/// What a link_schedule wants done.
struct link_actions
{
    std::vector<length_class> replace;   ///< Connections to give up and open anew at once.
    std::vector<length_class> close;     ///< Connections to give up; opened anew at their next use.
    std::vector<length_class> heartbeat; ///< Connections to send a heartbeat on.
    std::optional<upstream_state> state; ///< The upstream's new state.

    friend auto operator==(const link_actions&, const link_actions&) -> bool = default;
};

/// When a gateway sends heartbeats to one sidecar, and what their absence means. Whatever is received on a
/// connection shows that it lives; only quiet on a connection with work on it asks for a heartbeat, so an
/// idle one carries none, for however long.
///
/// Guarded failure: something on the way forgets a connection; it stays open and silent for good while new
/// ones work. It shows as work without a word. Invariant: a connection on which anything is waited for is
/// given up once it was quiet for the patience, counted from its last word or the start of the wait,
/// whichever is later. And a sidecar that holds work hears from the gateway within each renewal time, also if
/// tokens flow: they show the gateway that the sidecar lives, and the sidecar nothing.
class link_schedule
{
public:
    /// A link whose connection for short prompts has just been opened.
    link_schedule(instant now, heartbeat_options times);

    /// A connection was opened; it has to show life.
    void opened(instant now, length_class size);
    /// How many tries and calls on a connection wait for a word; with `sent`, one of them has just been put.
    void set_in_flight(instant now, length_class size, std::size_t count, bool sent = false);
    /// Anything was received on a connection.
    void received(instant now, length_class size);
    /// A connection broke.
    void disconnected(instant now, length_class size);
    /// A connection is to be proven before something is sent on it that may not be lost.
    void request_heartbeat(instant now, length_class size);
    /// Whether a connection showed life so lately that a call that may not be repeated can go out on it.
    [[nodiscard]] auto recently_alive(instant now, length_class size) const -> bool;

    /// What is due.
    [[nodiscard]] auto tick(instant now) -> link_actions;

private:
    struct connection
    {
        bool open = false;
        std::size_t work = 0;
        std::optional<instant> heard_at;
        std::optional<instant> waits_since; // for anything at all; moves on with each word
        std::optional<instant> asked_at;    // last heartbeat or work put
        bool unanswered = false;            // it was asked since its last word
        bool ask_now = false;
    };

    auto at(length_class size) -> connection& { return connections_[index_of(size)]; }
    void doubt(instant now);
    void give_up(instant now, length_class size, link_actions& out);
    void ask_where_due(instant now, link_actions& out);
    void renew_if_due(instant now, link_actions& out);
    [[nodiscard]] auto longest_quiet() const -> duration;
    [[nodiscard]] auto present_state(instant now) const -> upstream_state;

    heartbeat_options times_;
    std::array<connection, length_class_count> connections_;
    upstream_state state_ = upstream_state::suspect;
    std::optional<instant> heard_at_;    // on any connection
    std::optional<instant> doubt_since_; // no word since a connection was lost
    std::optional<instant> told_at_;     // last word to the sidecar that a word back confirmed
};

} // namespace dragonflymill
