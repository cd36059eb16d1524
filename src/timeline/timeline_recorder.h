#pragma once

#include "dragonflymill/core/error.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill {

/// Writes the time line of this process: events go into a bounded ring, a thread of its own writes them to a
/// file as JSON lines. Callable from every thread. An event that finds the ring full is dropped and counted,
/// since a request must not wait for a slow disk; the file says how many were dropped, and where.
class timeline_recorder
{
public:
    /// One that records nothing.
    timeline_recorder();
    /// Opens `file` anew and starts the writing thread; with an empty `file` it records nothing.
    [[nodiscard]] static auto start(process_id process, const std::string& file, std::size_t ring)
        -> result<timeline_recorder>;

    /// Writes what is in the ring and stops.
    ~timeline_recorder();
    timeline_recorder(timeline_recorder&& other) noexcept;
    auto operator=(timeline_recorder&& other) noexcept -> timeline_recorder&;
    timeline_recorder(const timeline_recorder&) = delete;
    auto operator=(const timeline_recorder&) -> timeline_recorder& = delete;

    /// Whether it records.
    [[nodiscard]] auto enabled() const -> bool { return state_ != nullptr; }
    /// Records a step of a request, or of the process if `request` is empty.
    void record(const request_id& request, std::string_view step, std::string_view detail = {});
    /// Records that `message` was sent; right before it is, so that its way is not measured too short.
    void record_send(const request_id& request, std::string_view step, std::string_view message,
                     std::string_view detail = {});
    /// Records that `message` was received; right after it was.
    void record_receive(const request_id& request, std::string_view step, std::string_view message,
                        std::string_view detail = {});
    /// Events dropped so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    struct state;
    explicit timeline_recorder(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
