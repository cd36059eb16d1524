#include "log/event_catalogue.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>
#include <array>

namespace dragonflymill {

namespace {

constexpr auto entries = std::to_array<event_entry>({
#define DRAGONFLYMILL_EVENT(number, name, level, text, remedy)                                               \
    event_entry{event::name, #name, log_level::level, text, remedy},
#include "log/events.inc"
#undef DRAGONFLYMILL_EVENT
});

} // namespace

auto to_string(log_level level) -> const char*
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

auto event_catalogue() -> std::span<const event_entry>
{
    return entries;
}

auto entry_of(event id) -> const event_entry&
{
    const auto* const found = std::lower_bound(
        entries.begin(), entries.end(), id, [](const event_entry& e, event wanted) { return e.id < wanted; });
    DRAGONFLYMILL_ASSERT(found != entries.end() && found->id == id, "every event must be in the catalogue");
    return *found;
}

} // namespace dragonflymill
