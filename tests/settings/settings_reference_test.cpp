#include "settings/settings_reference.h"

#include "settings/gateway_settings.h"
#include "settings/settings_reader.h"
#include "settings/sidecar_settings.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

namespace dragonflymill {

namespace {

auto settings_page() -> std::string
{
    std::ifstream in(DRAGONFLYMILL_SOURCE_DIR "/docs/settings.md");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Returns the template with every commented-out default enabled.
auto uncommented(const std::string& text) -> std::string
{
    std::istringstream in(text);
    std::string out;
    for (std::string line; std::getline(in, line);) {
        const bool is_key = line.starts_with("# ") && line.find(" = ") != std::string::npos;
        out += (is_key ? line.substr(2) : line) + '\n';
    }
    return out;
}

} // namespace

Test(settings_reference, has_the_tables_of_both_roles_in_the_docs)
{
    gateway_settings gateway;
    sidecar_settings sidecar;
    const std::string text = settings_page();
    for (const std::string& tables :
         {settings_tables(gateway_schema(gateway)), settings_tables(sidecar_schema(sidecar))}) {
        std::istringstream rows(tables);
        for (std::string row; std::getline(rows, row);) {
            cr_assert(text.find(row + '\n') != std::string::npos, "docs/settings.md lacks: %s", row.c_str());
        }
        cr_assert(text.find(tables) != std::string::npos,
                  "docs/settings.md has rows that the schema lacks; see `dragonflymill settings --markdown`");
    }
}

Test(settings_reference, writes_defaults_that_its_reader_accepts)
{
    gateway_settings settings;
    const std::string text = uncommented(settings_template(gateway_schema(settings)));
    gateway_settings read;
    for (const settings_mistake& mistake : read_settings(text, "template", gateway_schema(read))) {
        const bool is_placeholder = mistake.section == "process" || mistake.section == "listen";
        cr_assert(is_placeholder, "%s", to_text(mistake).c_str());
    }
    cr_assert(read.timeouts == settings.timeouts);
    cr_assert(read.limits == settings.limits);
    cr_assert(read.log == settings.log);
}

} // namespace dragonflymill
