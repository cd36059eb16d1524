#pragma once

#include <cstdint>
#include <span>

namespace dragonflymill {

/// How much an event matters, least first.
enum class log_level
{
    debug,   ///< One for each request or message; for finding faults.
    info,    ///< What an operator may want to read later.
    warning, ///< Something is wrong that the system bears.
    error,   ///< Something is wrong that needs a person.
};

/// Name of a level, as it stands in the log and the settings.
[[nodiscard]] auto to_string(log_level level) -> const char*;

/// Every event that may be logged; the list itself is `log/events.inc`.
enum class event : std::uint16_t
{
#define DRAGONFLYMILL_EVENT(number, name, level, text, remedy) name = (number),
#include "log/events.inc"
#undef DRAGONFLYMILL_EVENT
};

/// What the catalogue says about an event.
struct event_entry
{
    event id;           ///< The event; its value is its number.
    const char* name;   ///< Name as it stands in the log.
    log_level level;    ///< Level it is logged at.
    const char* text;   ///< What happened.
    const char* remedy; ///< What to do; empty when nothing needs to be done.

    /// The event's number.
    [[nodiscard]] auto number() const -> int { return static_cast<int>(id); }
};

/// The whole catalogue, in order of number.
[[nodiscard]] auto event_catalogue() -> std::span<const event_entry>;

/// The catalogue's entry of an event.
[[nodiscard]] auto entry_of(event id) -> const event_entry&;

} // namespace dragonflymill
