#pragma once

#include "settings/settings_mistake.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// One `key = value` of an INI file, with its place.
struct ini_entry
{
    std::string section; ///< The section it stands in.
    std::string key;     ///< The key.
    std::string value;   ///< The value, without blanks at its ends.
    int line = 0;        ///< Its line, from 1.

    friend auto operator==(const ini_entry&, const ini_entry&) -> bool = default;
};

/// One `[section]` line.
struct ini_section
{
    std::string name; ///< The section's name.
    int line = 0;     ///< Its line, from 1.

    friend auto operator==(const ini_section&, const ini_section&) -> bool = default;
};

/// An INI file as read, mistakes of form included. Boost's own INI readers forget the line of a key and stop
/// at the first mistake, so that they can't say where each of several mistakes is.
struct ini_document
{
    std::vector<ini_section> sections;      ///< Section lines in order.
    std::vector<ini_entry> entries;         ///< Keys in order; of a repeated key only the first.
    std::vector<settings_mistake> mistakes; ///< Lines that are neither, and repeated keys.
};

/// Reads `text`; `file` is its name in mistakes. Comments are lines that begin with `#` or `;`.
[[nodiscard]] auto parse_ini(std::string_view text, const std::string& file) -> ini_document;

} // namespace dragonflymill
