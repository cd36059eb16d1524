#pragma once

#include "dragonflymill/core/error.h"
#include "log/event_catalogue.h"
#include "log/log_field.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill {

/// Format of log lines.
enum class log_format
{
    text, ///< Human-readable.
    json, ///< One JSON object per line, for tools.
};

/// Value of `log_settings::file` that selects standard output.
inline constexpr const char* standard_output_file = "-";

/// Settings of the logger.
struct log_settings
{
    std::string process;                  ///< Process name, included in every line.
    log_level level = log_level::info;    ///< Minimum level; events below it are not logged.
    log_format format = log_format::text; ///< Format of the lines.
    std::string file; ///< File to append to; empty for standard error, `-` for standard output.

    friend auto operator==(const log_settings&, const log_settings&) -> bool = default;
};

/// The logger of a process; at most one may exist at a time. Without one, `log_event` does nothing.
class logger
{
public:
    /// Opens the output and starts the writer thread. Fails with `conflict` if a logger exists and with
    /// `unavailable` if the file can't be opened.
    [[nodiscard]] static auto start(const log_settings& settings) -> result<logger>;

    /// Writes queued events and stops. Waits at most 500 ms; events not written by then are lost.
    ~logger();
    logger(logger&& other) noexcept;
    auto operator=(logger&& other) noexcept -> logger&;
    logger(const logger&) = delete;
    auto operator=(const logger&) -> logger& = delete;

    /// Blocks until all events logged so far are written.
    void flush();
    /// Number of events dropped because the queue was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    struct state;
    explicit logger(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

/// Whether events of `level` are currently logged.
[[nodiscard]] auto log_enabled(log_level level) -> bool;

namespace detail {

/// Queues an event for the writer thread without blocking.
void queue_event(event id, std::vector<log_field> fields);

} // namespace detail

/// Logs an event with its fields: `log_event(event::request_refused, field("request", id))`. Thread-safe and
/// non-blocking: if the queue is full, the event is dropped and counted.
template <typename... Fields>
void log_event(event id, Fields&&... fields)
{
    if (!log_enabled(entry_of(id).level)) {
        return;
    }
    std::vector<log_field> list;
    list.reserve(sizeof...(fields));
    (list.push_back(std::forward<Fields>(fields)), ...);
    detail::queue_event(id, std::move(list));
}

} // namespace dragonflymill
