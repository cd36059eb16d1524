#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// One `key = value` line.
struct ini_entry
{
    std::string key;      ///< Left of the first `=`.
    std::string value;    ///< Right of it, without blanks at its ends.
    std::size_t line = 0; ///< Line number, from 1.

    friend auto operator==(const ini_entry&, const ini_entry&) -> bool = default;
};

/// One `[kind name]` section.
struct ini_section
{
    std::string kind;               ///< First word of the header.
    std::string name;               ///< Second word; empty for a section that exists once.
    std::size_t line = 0;           ///< Line of the header, from 1.
    std::vector<ini_entry> entries; ///< Its lines, in their order.

    friend auto operator==(const ini_section&, const ini_section&) -> bool = default;
};

/// A mistake in a text that operators write.
struct source_mistake
{
    std::size_t line = 0; ///< Line number, from 1; 0 if it belongs to no line.
    std::string subject;  ///< Section and key that it concerns.
    std::string problem;  ///< What is wrong.
    std::string remedy;   ///< What is allowed, and what to do.

    /// All of it in one line.
    [[nodiscard]] auto text() const -> std::string;
    friend auto operator==(const source_mistake&, const source_mistake&) -> bool = default;
};

/// A text in INI form, cut into sections but not yet understood.
struct ini_document
{
    std::vector<ini_section> sections;    ///< In the order of the text.
    std::vector<source_mistake> mistakes; ///< Lines that are neither header, entry, comment nor blank.
};

/// Longest line taken, in bytes.
inline constexpr std::size_t max_ini_line = 65'536;
/// Most sections taken.
inline constexpr std::size_t max_ini_sections = 20'000;
/// Most mistakes kept; the rest is left out, since it can only follow from these.
inline constexpr std::size_t max_source_mistakes = 200;

/// Cuts a text into sections. Comments start with `#` or `;` at the start of a line.
[[nodiscard]] auto read_ini(std::string_view text) -> ini_document;

} // namespace dragonflymill
