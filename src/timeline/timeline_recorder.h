#pragma once

#include "dragonflymill/core/error.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill {

/// Records the timeline of this process. Events are queued in a bounded ring and written to a file as JSON
/// lines by a separate thread. Thread-safe. If the ring is full, events are dropped and counted, since a
/// request must not wait for a slow disk; the file then contains an event with the number
/// of dropped events.
class timeline_recorder
{
public:
    /// Creates a recorder that records nothing.
    timeline_recorder();
    /// Truncates `file` and starts the writer thread; `ring` is the ring's capacity in events. With an empty
    /// `file`, nothing is recorded. Fails with `unavailable` if the file can't be opened.
    [[nodiscard]] static auto start(process_id process, const std::string& file, std::size_t ring)
        -> result<timeline_recorder>;

    /// Writes the queued events and stops the writer thread.
    ~timeline_recorder();
    timeline_recorder(timeline_recorder&& other) noexcept;
    auto operator=(timeline_recorder&& other) noexcept -> timeline_recorder&;
    timeline_recorder(const timeline_recorder&) = delete;
    auto operator=(const timeline_recorder&) -> timeline_recorder& = delete;

    /// Whether events are recorded.
    [[nodiscard]] auto enabled() const -> bool { return state_ != nullptr; }
    /// Records a step of a request, or of the process if `request` is empty.
    void record(const request_id& request, std::string_view step, std::string_view detail = {});
    /// Records that `message` is sent. Must be called immediately before the send, since a later timestamp
    /// would understate the message delay.
    void record_send(const request_id& request, std::string_view step, std::string_view message,
                     std::string_view detail = {});
    /// Records that `message` was received. Must be called immediately after it was received.
    void record_receive(const request_id& request, std::string_view step, std::string_view message,
                        std::string_view detail = {});
    /// Number of events dropped because the ring was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    struct state;
    explicit timeline_recorder(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
