#pragma once

#include "dragonflymill/core/error.h"
#include "log/event_catalogue.h"
#include "log/log_field.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill {

/// How log lines are written.
enum class log_format
{
    text, ///< For people.
    json, ///< A JSON object a line, for tools.
};

/// As a log file: standard output.
inline constexpr const char* standard_output_file = "-";

/// Where and how to log.
struct log_settings
{
    std::string process;                  ///< Name of the process, in every line.
    log_level level = log_level::info;    ///< Events below it are not logged.
    log_format format = log_format::text; ///< Format of the lines.
    std::string file; ///< File to append to; empty for standard error, `-` for standard output.

    friend auto operator==(const log_settings&, const log_settings&) -> bool = default;
};

/// Logging of a process, from its start to its end. While none is alive, `log_event` does nothing. At most
/// one is alive at a time.
class logger
{
public:
    /// Opens the file and starts the writing thread.
    [[nodiscard]] static auto start(const log_settings& settings) -> result<logger>;

    /// Writes what is queued and stops.
    ~logger();
    logger(logger&& other) noexcept;
    auto operator=(logger&& other) noexcept -> logger&;
    logger(const logger&) = delete;
    auto operator=(const logger&) -> logger& = delete;

    /// Waits until everything logged so far is written.
    void flush();
    /// Events dropped so far because the queue was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    struct state;
    explicit logger(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

/// Whether events of `level` are logged now.
[[nodiscard]] auto log_enabled(log_level level) -> bool;

namespace detail {

/// Queues an event for the writing thread; never waits.
void queue_event(event id, std::vector<log_field> fields);

} // namespace detail

/// Logs an event with its fields: `log_event(event::request_refused, field("request", id))`. Callable from
/// every thread; never waits for the writer: when its queue is full, the event is dropped and counted.
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
