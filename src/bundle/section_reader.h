#pragma once

#include "dragonflymill/bundle/ini_document.h"
#include "dragonflymill/core/error.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Reads the typed values of one section and notes each mistake with its line.
class section_reader
{
public:
    /// Reads `section`, adding to `mistakes`; both outlive the reader.
    section_reader(const ini_section& section, std::vector<source_mistake>& mistakes);

    /// Reads `key` with `parse` into `target`; a missing key is a mistake if `required`.
    template <typename Parse, typename Target>
    void value(std::string_view key, Parse parse, Target& target, bool required = true)
    {
        const auto* entry = find(key, required);
        if (entry == nullptr) {
            return;
        }
        auto parsed = parse(entry->value);
        if (parsed.has_error()) {
            add(entry->line, key, parsed.error().message(), parsed.error().remedy());
            return;
        }
        target = Target(std::move(parsed).value());
    }

    /// Reads a list of names, separated by commas.
    template <typename Id>
    void names(std::string_view key, std::vector<Id>& target, bool required = true)
    {
        const auto* entry = find(key, required);
        if (entry == nullptr) {
            return;
        }
        for (auto& word : split(*entry)) {
            target.push_back(Id(std::move(word)));
        }
    }

    /// Reports keys that nobody asked for, and keys given twice. Called last.
    void finish();

    /// Notes a mistake of this section.
    void add(std::size_t line, std::string_view key, std::string problem, std::string remedy);

private:
    [[nodiscard]] auto find(std::string_view key, bool required) -> const ini_entry*;
    [[nodiscard]] auto split(const ini_entry& entry) -> std::vector<std::string>;
    [[nodiscard]] auto known_text() const -> std::string;

    const ini_section& section_;
    std::vector<source_mistake>& mistakes_;
    std::set<std::string, std::less<>> known_;
};

/// Reads a name: 1 to 64 of letters, digits, dot, dash and underscore.
[[nodiscard]] auto parse_name(std::string_view text) -> result<std::string>;

/// Reads `size` bytes written as lower-case hexadecimal digits.
[[nodiscard]] auto parse_hex(std::string_view text, std::size_t size) -> result<std::string>;

/// Reads an IP number and a port, such as `10.0.0.7:7101` or `[fd00::7]:7101`.
[[nodiscard]] auto parse_address(std::string_view text) -> result<std::string>;

/// Title of a section, as mistakes name it.
[[nodiscard]] auto section_title(std::string_view kind, std::string_view name) -> std::string;

} // namespace dragonflymill
