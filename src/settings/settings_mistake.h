#pragma once

#include <string>
#include <vector>

namespace dragonflymill {

/// One mistake in a settings file.
struct settings_mistake
{
    std::string file;    ///< File name as given by the caller.
    int line = 0;        ///< Line number from 1; 0 if the mistake has no line, as for a missing section.
    std::string section; ///< Section without brackets.
    std::string key;     ///< Key; empty if the line has none.
    std::string message; ///< Description of the mistake.
    std::string allowed; ///< Allowed values or names; empty if there are none.
    std::string remedy;  ///< How to fix it.

    friend auto operator==(const settings_mistake&, const settings_mistake&) -> bool = default;
};

/// Formats a mistake as one line: `file:line: [section] key: message; allowed: ...; remedy`.
[[nodiscard]] auto to_text(const settings_mistake& mistake) -> std::string;

/// Formats mistakes, one per line.
[[nodiscard]] auto to_text(const std::vector<settings_mistake>& mistakes) -> std::string;

} // namespace dragonflymill
