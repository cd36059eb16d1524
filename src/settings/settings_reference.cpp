#include "settings/settings_reference.h"

namespace dragonflymill {

auto settings_template(const settings_schema& schema) -> std::string
{
    std::string text;
    std::string section;
    for (const setting_spec& spec : schema.specs()) {
        if (spec.section != section) {
            section = spec.section;
            text += (text.empty() ? "[" : "\n[") + section + "]\n";
        }
        const bool required = spec.needed == presence::required;
        text += "# " + spec.help + " (" + spec.type + "; " + spec.allowed + ")\n";
        text += (required ? "" : "# ") + spec.key + " =" + (spec.default_text.empty() ? "" : " ") +
                spec.default_text + "\n";
    }
    return text;
}

auto settings_tables(const settings_schema& schema) -> std::string
{
    std::string text;
    std::string section;
    for (const setting_spec& spec : schema.specs()) {
        if (spec.section != section) {
            section = spec.section;
            text += (text.empty() ? "### [" : "\n### [") + section + "]\n";
            text += "| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n";
        }
        std::string default_value = spec.default_text.empty() ? "none" : "`" + spec.default_text + "`";
        if (spec.needed == presence::required) {
            default_value = "required";
        }
        text += "| `" + spec.key + "` | " + spec.type + " | " + default_value + " | " + spec.allowed + " | " +
                spec.help + " |\n";
    }
    return text;
}

} // namespace dragonflymill
