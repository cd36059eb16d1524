#pragma once

#include <string>
#include <vector>

namespace dragonflymill {

/// One mistake in a settings file.
struct settings_mistake
{
    std::string file;    ///< The file, as it was named.
    int line = 0;        ///< Its line, from 1; 0 where something is missing altogether.
    std::string section; ///< The section, without brackets.
    std::string key;     ///< The key; empty when the line has none.
    std::string message; ///< What is wrong.
    std::string allowed; ///< What may stand there; empty when nothing may.
    std::string remedy;  ///< What to do.

    friend auto operator==(const settings_mistake&, const settings_mistake&) -> bool = default;
};

/// A mistake in one line: `file:line: [section] key: message; allowed: ...; remedy`.
[[nodiscard]] auto to_text(const settings_mistake& mistake) -> std::string;

/// Every mistake on a line of its own.
[[nodiscard]] auto to_text(const std::vector<settings_mistake>& mistakes) -> std::string;

} // namespace dragonflymill
