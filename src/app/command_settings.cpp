#include "app/command_settings.h"

#include "app/option_set.h"
#include "settings/gateway_settings.h"
#include "settings/settings_reference.h"
#include "settings/sidecar_settings.h"

namespace dragonflymill::app {

namespace {

void write_reference(const settings_schema& schema, bool markdown, std::ostream& out)
{
    out << (markdown ? settings_tables(schema) : settings_template(schema));
}

} // namespace

auto run_settings(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> roles;
    bool markdown = false;
    option_set options("dragonflymill settings gateway|sidecar [--markdown]",
                       "Prints a settings file with every key of a role, its meaning and its default.");
    options.flag("markdown", "print the tables of docs/settings.md instead", markdown);
    options.positional("the role", roles, 1, 1);
    options.example("dragonflymill settings gateway > gw.ini", "a file to fill in");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (roles.front() == "gateway") {
        gateway_settings settings;
        write_reference(gateway_schema(settings), markdown, io.out);
        return exit_code::success;
    }
    if (roles.front() == "sidecar") {
        sidecar_settings settings;
        write_reference(sidecar_schema(settings), markdown, io.out);
        return exit_code::success;
    }
    io.err << "'" << roles.front() << "' is not a role; write gateway or sidecar\n";
    return exit_code::usage;
}

} // namespace dragonflymill::app
