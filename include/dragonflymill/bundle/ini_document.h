#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// One `key = value` line.
struct ini_entry
{
    std::string key;      ///< Text left of the first `=`.
    std::string value;    ///< Right of it, trimmed.
    std::size_t line = 0; ///< Line number, from 1.

    friend auto operator==(const ini_entry&, const ini_entry&) -> bool = default;
};

/// One `[kind name]` section.
struct ini_section
{
    std::string kind;               ///< First word of the header.
    std::string name;               ///< Second word; empty for a section that occurs once.
    std::size_t line = 0;           ///< Line of the header, from 1.
    std::vector<ini_entry> entries; ///< Its entries, in order.

    friend auto operator==(const ini_section&, const ini_section&) -> bool = default;
};

/// A mistake in a configuration text.
struct source_mistake
{
    std::size_t line = 0; ///< Line number, from 1; 0 if it applies to no line.
    std::string subject;  ///< Section and key that it concerns.
    std::string problem;  ///< Description of the mistake.
    std::string remedy;   ///< Allowed values and how to correct it.

    /// Formats the mistake as one line.
    [[nodiscard]] auto text() const -> std::string;
    friend auto operator==(const source_mistake&, const source_mistake&) -> bool = default;
};

/// An INI text split into sections, with values not yet interpreted.
struct ini_document
{
    std::vector<ini_section> sections;    ///< Sections, in order.
    std::vector<source_mistake> mistakes; ///< Lines that are neither header, entry, comment nor blank.
};

/// Longest accepted line, in bytes.
inline constexpr std::size_t max_ini_line = 65'536;
/// Maximum number of sections.
inline constexpr std::size_t max_ini_sections = 20'000;
/// Maximum number of reported mistakes; further ones are usually consequences of these.
inline constexpr std::size_t max_source_mistakes = 200;

/// Splits a text into sections. A line that starts with `#` or `;` is a comment.
[[nodiscard]] auto read_ini(std::string_view text) -> ini_document;

} // namespace dragonflymill
