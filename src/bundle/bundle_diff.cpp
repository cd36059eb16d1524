#include "dragonflymill/bundle/bundle_diff.h"

#include "dragonflymill/bundle/bundle_codec.h"
#include "dragonflymill/bundle/ini_document.h"
#include "section_reader.h"

#include <map>

namespace dragonflymill {

namespace {

using key_values = std::map<std::string, std::string>;
using section_values = std::map<std::string, key_values>;

// Parses the canonical text instead of comparing fields, so new kinds of entries need no code here.
auto values_of(const bundle& value) -> section_values
{
    section_values values;
    for (const auto& section : read_ini(encode_bundle(value)).sections) {
        auto& keys = values[section_title(section.kind, section.name)];
        for (const auto& entry : section.entries) {
            keys[entry.key] = entry.value;
        }
    }
    return values;
}

auto value_or_none(const key_values& values, const std::string& key) -> std::string
{
    const auto found = values.find(key);
    return found == values.end() ? "none" : found->second;
}

void diff_keys(const std::string& section, const key_values& before, const key_values& after,
               std::vector<bundle_change>& changes)
{
    auto keys = before;
    keys.insert(after.begin(), after.end());
    for (const auto& [key, unused] : keys) {
        auto old_value = value_or_none(before, key);
        auto new_value = value_or_none(after, key);
        if (old_value != new_value) {
            changes.push_back(
                {change_kind::changed, section, key, std::move(old_value), std::move(new_value)});
        }
    }
}

} // namespace

auto diff_bundles(const bundle& before, const bundle& after) -> std::vector<bundle_change>
{
    const auto old_values = values_of(before);
    const auto new_values = values_of(after);
    std::vector<bundle_change> changes;
    for (const auto& [section, keys] : old_values) {
        const auto found = new_values.find(section);
        if (found == new_values.end()) {
            changes.push_back({change_kind::removed, section, "", "", ""});
        }
        else {
            diff_keys(section, keys, found->second, changes);
        }
    }
    for (const auto& [section, keys] : new_values) {
        if (!old_values.contains(section)) {
            changes.push_back({change_kind::added, section, "", "", ""});
        }
    }
    return changes;
}

auto to_text(const std::vector<bundle_change>& changes) -> std::string
{
    std::string text;
    for (const auto& change : changes) {
        switch (change.kind) {
        case change_kind::added:
            text += "+ " + change.section + "\n";
            break;
        case change_kind::removed:
            text += "- " + change.section + "\n";
            break;
        case change_kind::changed:
            text += "~ " + change.section + ": " + change.key + " " + change.before + " -> " + change.after +
                    "\n";
            break;
        }
    }
    return text;
}

} // namespace dragonflymill
