#include "timeline/timeline_recorder.h"

#include "dragonflymill/core/bounded_ring.h"
#include "log/logger.h"

#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

namespace dragonflymill {

namespace {

constexpr auto idle_flush_interval = std::chrono::milliseconds(100);
constexpr const char* dropped_step = "timeline_dropped";

auto monotonic_now() -> instant
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since_start));
}

auto wall_now() -> wall_instant
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return wall_instant(std::chrono::duration_cast<duration>(since_epoch));
}

} // namespace

struct timeline_recorder::state
{
    state(process_id name, std::ofstream opened, std::size_t bound)
        : process(std::move(name))
        , out(std::move(opened))
        , ring(bound)
        , writer([this] { run(); })
    {
    }

    ~state()
    {
        ring.close();
        writer.join();
    }
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    void push(const request_id& request, std::string_view step, std::string_view detail,
              std::string_view message, message_end end)
    {
        const bool pushed = ring.try_push({process, monotonic_now(), wall_now(), request, std::string(step),
                                           std::string(detail), std::string(message), end});
        static_cast<void>(pushed); // the ring counts rejected events
    }

    void run()
    {
        while (true) {
            const auto event = ring.pop_for(idle_flush_interval);
            if (event) {
                out << to_json_line(*event) << '\n';
                continue;
            }
            write_dropped();
            out.flush();
            if (ring.closed() && ring.size() == 0) {
                return;
            }
        }
    }

    void write_dropped()
    {
        const std::uint64_t dropped = ring.refused();
        if (dropped > reported_drops) {
            out << to_json_line({process, monotonic_now(), wall_now(), request_id(), dropped_step,
                                 std::to_string(dropped - reported_drops) + " events", "", message_end::none})
                << '\n';
            log_event(event::timeline_dropped, field("events", dropped - reported_drops));
            reported_drops = dropped;
        }
    }

    process_id process;
    std::ofstream out;
    bounded_ring<timeline_event> ring;
    std::uint64_t reported_drops = 0;
    std::thread writer; // declared last, since the thread uses the members above
};

timeline_recorder::timeline_recorder() = default;

timeline_recorder::timeline_recorder(std::unique_ptr<state> opened)
    : state_(std::move(opened))
{
}

timeline_recorder::timeline_recorder(timeline_recorder&& other) noexcept = default;
auto timeline_recorder::operator=(timeline_recorder&& other) noexcept -> timeline_recorder& = default;
timeline_recorder::~timeline_recorder() = default;

auto timeline_recorder::start(process_id process, const std::string& file, std::size_t ring)
    -> result<timeline_recorder>
{
    if (file.empty()) {
        return timeline_recorder();
    }
    std::ofstream out(file, std::ios::trunc);
    if (!out) {
        return error(error_kind::unavailable, "the timeline file '" + file + "' can't be opened",
                     "check that its directory exists and is writable");
    }
    return timeline_recorder(std::make_unique<state>(std::move(process), std::move(out), ring));
}

void timeline_recorder::record(const request_id& request, std::string_view step, std::string_view detail)
{
    if (state_ != nullptr) {
        state_->push(request, step, detail, {}, message_end::none);
    }
}

void timeline_recorder::record_send(const request_id& request, std::string_view step,
                                    std::string_view message, std::string_view detail)
{
    if (state_ != nullptr) {
        state_->push(request, step, detail, message, message_end::send);
    }
}

void timeline_recorder::record_receive(const request_id& request, std::string_view step,
                                       std::string_view message, std::string_view detail)
{
    if (state_ != nullptr) {
        state_->push(request, step, detail, message, message_end::receive);
    }
}

auto timeline_recorder::dropped() const -> std::uint64_t
{
    return state_ == nullptr ? 0 : state_->ring.refused();
}

} // namespace dragonflymill
