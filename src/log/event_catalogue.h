#pragma once

#include <cstdint>
#include <span>

namespace dragonflymill {

/// Severity of an event, in ascending order.
enum class log_level
{
    debug,   ///< Logged per request or message; for debugging.
    info,    ///< Normal operation, of interest to operators.
    warning, ///< A fault that the system tolerates.
    error,   ///< A fault that requires an operator.
};

/// Name of a level as used in the log and the settings.
[[nodiscard]] auto to_string(log_level level) -> const char*;

/// All log events, defined in `log/events.inc`.
enum class event : std::uint16_t
{
#define DRAGONFLYMILL_EVENT(number, name, level, text, remedy) name = (number),
#include "log/events.inc"
#undef DRAGONFLYMILL_EVENT
};

/// Catalogue entry of a log event.
struct event_entry
{
    event id;           ///< The event; the enumerator's value is the event number.
    const char* name;   ///< Name as used in the log.
    log_level level;    ///< Severity of the event.
    const char* text;   ///< Description of the event.
    const char* remedy; ///< Action for the operator; empty if none is required.

    /// Event number as used in the log.
    [[nodiscard]] auto number() const -> int { return static_cast<int>(id); }
};

/// All entries, in ascending order of their numbers.
[[nodiscard]] auto event_catalogue() -> std::span<const event_entry>;

/// Catalogue entry of `id`.
[[nodiscard]] auto entry_of(event id) -> const event_entry&;

} // namespace dragonflymill
