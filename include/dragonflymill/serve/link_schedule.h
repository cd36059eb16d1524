#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/route/upstream_description.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Timing of the heartbeats between a gateway and one sidecar.
struct heartbeat_options
{
    duration interval = 500ms; ///< Silence on a connection with work in flight that triggers a heartbeat.
    std::uint64_t misses = 3;  ///< Silent intervals after which a connection with work is replaced.
    duration renewal_interval = 15s; ///< Maximum time between messages to a sidecar with work in flight.

    /// Returns the silence after which a connection with work in flight is closed.
    [[nodiscard]] auto silence_timeout() const -> duration
    {
        return interval * static_cast<std::int64_t>(misses);
    }
};

/// Actions that a link_schedule requests.
struct link_actions
{
    std::vector<length_class> replace;   ///< Connections to close and reopen at once.
    std::vector<length_class> close;     ///< Connections to close; they are reopened at their next use.
    std::vector<length_class> heartbeat; ///< Connections to send a heartbeat on.
    std::optional<upstream_state> state; ///< New state of the upstream, if it changed.

    friend auto operator==(const link_actions&, const link_actions&) -> bool = default;
};

/// Schedules the heartbeats from a gateway to one sidecar and detects failed connections. Any received
/// message shows that a connection is alive. Only silence on a connection with work in flight triggers a
/// heartbeat, so an idle connection carries no heartbeats.
///
/// Guarded failure: a network device drops the state of a connection, which stays open and silent for good
/// while new connections work. Invariant: a connection on which an answer is awaited is closed after a
/// silence of `silence_timeout()`, counted from the last received message or the start of the wait, whichever
/// is later. A sidecar that holds work also gets a message within each renewal interval while tokens flow:
/// the tokens show the gateway that the sidecar is alive, but not the reverse.
class link_schedule
{
public:
    /// Creates a link whose connection for short prompts was opened at `now`.
    link_schedule(instant now, heartbeat_options options);

    /// Handles the opening of a connection: a heartbeat on it becomes due.
    void opened(instant now, length_class size);
    /// Sets the number of attempts and calls on a connection that await an answer. `sent` tells that one of
    /// them was sent just now.
    void set_in_flight(instant now, length_class size, std::size_t count, bool sent = false);
    /// Handles any message received on a connection.
    void received(instant now, length_class size);
    /// Handles the loss of a connection.
    void disconnected(instant now, length_class size);
    /// Requests a heartbeat on a connection, before a call that may not be repeated is sent on it.
    void request_heartbeat(instant now, length_class size);
    /// Returns whether a message was received on a connection within the silence timeout. A call that may not
    /// be that repeated is sent on it only then.
    [[nodiscard]] auto recently_alive(instant now, length_class size) const -> bool;

    /// Returns the actions that are due.
    [[nodiscard]] auto tick(instant now) -> link_actions;

private:
    struct connection
    {
        bool open = false;
        std::size_t in_flight = 0;
        std::optional<instant> received_at;
        std::optional<instant> waiting_since; // for any message; advances with each one
        std::optional<instant> sent_at;       // last heartbeat or work sent
        bool unanswered = false;              // something was sent since the last received message
        bool heartbeat_due = false;
    };

    auto at(length_class size) -> connection& { return connections_[index_of(size)]; }
    void mark_suspect(instant now);
    void close_silent(instant now, length_class size, link_actions& out);
    void send_due_heartbeats(instant now, link_actions& out);
    void renew_if_due(instant now, link_actions& out);
    [[nodiscard]] auto max_silence() const -> duration;
    [[nodiscard]] auto present_state(instant now) const -> upstream_state;

    heartbeat_options options_;
    std::array<connection, length_class_count> connections_;
    upstream_state state_ = upstream_state::suspect;
    std::optional<instant> received_at_;   // on any connection
    std::optional<instant> suspect_since_; // nothing received since a connection was lost
    std::optional<instant> renewed_at_;    // when the last message that the sidecar confirmed was sent
};

} // namespace dragonflymill
