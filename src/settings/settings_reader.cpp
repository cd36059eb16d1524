#include "settings/settings_reader.h"

#include "dragonflymill/bundle/ini_document.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>

namespace dragonflymill {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{1} << 20U;
/// Largest edit distance at which a known key is suggested for an unknown one. A misspelt name differs from
/// the intended one in a few letters; a more distant suggestion would mislead.
constexpr std::size_t max_suggestion_distance = 3;

/// Levenshtein distance between `a` and `b`.
auto edit_distance(std::string_view a, std::string_view b) -> std::size_t
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

/// Position of a key in the file.
struct key_location
{
    std::string section;
    std::string key;
    int line = 0;
};

/// Assigns the values of one document through a schema and collects the mistakes.
class settings_validator
{
public:
    settings_validator(const std::string& file, const settings_schema& schema, ini_document document)
        : file_(file)
        , schema_(schema)
        , document_(std::move(document))
    {
    }

    auto run() && -> std::vector<settings_mistake>
    {
        for (const source_mistake& m : document_.mistakes) {
            mistakes_.push_back({file_, static_cast<int>(m.line), "", m.subject, m.problem, "", m.remedy});
        }
        for (const ini_section& section : document_.sections) {
            for (const ini_entry& entry : section.entries) {
                check_entry(section, entry);
            }
        }
        for (const setting_spec& spec : schema_.specs()) {
            check_presence(spec);
        }
        if (mistakes_.empty()) {
            check_rules();
        }
        std::stable_sort(
            mistakes_.begin(), mistakes_.end(),
            [](const settings_mistake& a, const settings_mistake& b) { return a.line < b.line; });
        return std::move(mistakes_);
    }

private:
    /// Returns the section's name as written. Settings files have no `[kind name]` sections, so such a name
    /// matches no section of the schema.
    static auto section_name(const ini_section& section) -> std::string
    {
        return section.name.empty() ? section.kind : section.kind + ' ' + section.name;
    }

    void check_entry(const ini_section& section, const ini_entry& entry)
    {
        const key_location location{section_name(section), entry.key, static_cast<int>(entry.line)};
        const int previous_line = line_of(location.section, location.key);
        if (previous_line > 0) {
            add_mistake(location, "the key was already set in line " + std::to_string(previous_line), "",
                        "leave one of the two");
            return;
        }
        seen_keys_.push_back(location);
        const auto specs = schema_.specs();
        const auto spec = std::find_if(specs.begin(), specs.end(), [&](const setting_spec& s) {
            return s.section == location.section && s.key == location.key;
        });
        if (spec == specs.end()) {
            add_unknown_key(location);
            return;
        }
        const auto assigned = spec->assign(entry.value);
        if (assigned.has_error()) {
            add_mistake(location, assigned.error().message(), spec->allowed, assigned.error().remedy());
        }
    }

    void add_mistake(const key_location& location, std::string message, std::string allowed,
                     std::string remedy)
    {
        mistakes_.push_back({file_, location.line, location.section, location.key, std::move(message),
                             std::move(allowed), std::move(remedy)});
    }

    void add_unknown_key(const key_location& entry)
    {
        std::string keys;
        const setting_spec* nearest = nullptr;
        std::size_t nearest_distance = max_suggestion_distance + 1;
        for (const setting_spec& spec : schema_.specs()) {
            const std::size_t distance =
                edit_distance(spec.section, entry.section) + edit_distance(spec.key, entry.key);
            if (distance < nearest_distance) {
                nearest = &spec;
                nearest_distance = distance;
            }
            if (spec.section == entry.section) {
                keys += (keys.empty() ? "" : ", ") + spec.key;
            }
        }
        const std::string message = keys.empty() ? "the section is not known" : "the key is not known";
        const std::string allowed = keys.empty() ? all_sections() : keys;
        const std::string remedy = nearest == nullptr
                                       ? "remove the line or see docs/settings.md"
                                       : "did you mean [" + nearest->section + "] " + nearest->key + "?";
        add_mistake(entry, message, allowed, remedy);
    }

    [[nodiscard]] auto all_sections() const -> std::string
    {
        std::string all;
        std::string last;
        for (const setting_spec& spec : schema_.specs()) {
            if (spec.section != last) {
                all += (all.empty() ? "[" : ", [") + spec.section + "]";
                last = spec.section;
            }
        }
        return all;
    }

    void check_presence(const setting_spec& spec)
    {
        if (spec.needed == presence::optional || line_of(spec.section, spec.key) > 0) {
            return;
        }
        const auto section =
            std::find_if(document_.sections.begin(), document_.sections.end(),
                         [&](const ini_section& found) { return section_name(found) == spec.section; });
        const int line = section == document_.sections.end() ? 0 : static_cast<int>(section->line);
        mistakes_.push_back({file_, line, spec.section, spec.key, "the key is missing", spec.allowed,
                             "add it: " + spec.help});
    }

    void check_rules()
    {
        for (const setting_rule& rule : schema_.rules()) {
            if (!rule.holds()) {
                mistakes_.push_back({file_, line_of(rule.section, rule.key), rule.section, rule.key,
                                     rule.message, "", rule.remedy});
            }
        }
    }

    [[nodiscard]] auto line_of(const std::string& section, const std::string& key) const -> int
    {
        const auto found = std::find_if(seen_keys_.begin(), seen_keys_.end(), [&](const key_location& k) {
            return k.section == section && k.key == key;
        });
        return found == seen_keys_.end() ? 0 : found->line;
    }

    const std::string& file_;
    const settings_schema& schema_;
    ini_document document_;
    std::vector<key_location> seen_keys_;
    std::vector<settings_mistake> mistakes_;
};

auto file_error(const std::string& file, std::string message, std::string remedy)
    -> std::vector<settings_mistake>
{
    return {{file, 0, "", "", std::move(message), "", std::move(remedy)}};
}

} // namespace

auto read_settings(std::string_view text, const std::string& file, const settings_schema& schema)
    -> std::vector<settings_mistake>
{
    return settings_validator(file, schema, read_ini(text)).run();
}

auto read_settings_file(const std::string& file, const settings_schema& schema)
    -> std::vector<settings_mistake>
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return file_error(file, "the file can't be opened", "check its path and permissions");
    }
    std::string text(max_file_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_file_bytes) {
        return file_error(file, "the file is larger than 1 MiB", "check that it is a settings file");
    }
    return read_settings(text, file, schema);
}

} // namespace dragonflymill
