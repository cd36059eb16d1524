#pragma once

#include "dragonflymill/bundle/ini_document.h"
#include "dragonflymill/core/error.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Reads the typed values of one section and records each mistake with its line.
class section_reader
{
public:
    /// Reads `section` and appends to `mistakes`; both must outlive the reader.
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

    /// Reads a comma-separated list of names.
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

    /// Reports unknown and duplicate keys. Must be called last.
    void finish();

    /// Records a mistake in this section.
    void add(std::size_t line, std::string_view key, std::string problem, std::string remedy);

private:
    [[nodiscard]] auto find(std::string_view key, bool required) -> const ini_entry*;
    [[nodiscard]] auto split(const ini_entry& entry) -> std::vector<std::string>;
    [[nodiscard]] auto known_text() const -> std::string;

    const ini_section& section_;
    std::vector<source_mistake>& mistakes_;
    std::set<std::string, std::less<>> known_;
};

/// Parses a name: 1 to 64 letters, digits, dots, dashes and underscores.
[[nodiscard]] auto parse_name(std::string_view text) -> result<std::string>;

/// Checks that `text` is `size` bytes in lower-case hexadecimal and returns it.
[[nodiscard]] auto parse_hex(std::string_view text, std::size_t size) -> result<std::string>;

/// Checks that `text` is an IP address and port and returns it, such as `10.0.0.7:7101` or `[fd00::7]:7101`.
[[nodiscard]] auto parse_address(std::string_view text) -> result<std::string>;

/// Title of a section for messages: kind and name.
[[nodiscard]] auto section_title(std::string_view kind, std::string_view name) -> std::string;

} // namespace dragonflymill
