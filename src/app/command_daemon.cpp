#include "app/command_daemon.h"

#include "app/option_set.h"
#include "gateway/gateway_daemon.h"
#include "settings/gateway_settings.h"
#include "settings/settings_reader.h"
#include "settings/sidecar_settings.h"
#include "sidecar/sidecar_daemon.h"

namespace dragonflymill::app {

namespace {

/// Reads and checks the settings file of a role; without `--check` then runs the daemon until it stops.
template <typename Settings>
auto run_role(const char* role, settings_schema (*schema_of)(Settings&), int (*run)(const Settings&),
              const arguments& words, command_io& io) -> exit_code
{
    std::string file;
    bool check_only = false;
    const std::string name = std::string("dragonflymill ") + role;
    option_set options(name + " --config FILE [--check]", std::string("Runs a ") + role + " until SIGTERM.");
    options.text("config", "the settings file; `dragonflymill settings` prints one to start from", file);
    options.flag("check", "only check the settings file", check_only);
    options.example(name + " --config " + role + ".ini", "runs it");
    options.example(name + " --config " + role + ".ini --check", "names every mistake in the file");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (file.empty()) {
        io.err << "--config is missing; name a settings file\n";
        return exit_code::usage;
    }
    Settings settings;
    const auto mistakes = read_settings_file(file, schema_of(settings));
    for (const auto& mistake : mistakes) {
        io.err << to_text(mistake) << '\n';
    }
    if (!mistakes.empty()) {
        return exit_code::invalid;
    }
    if (check_only) {
        io.out << file << ": no mistakes\n";
        return exit_code::success;
    }
    return static_cast<exit_code>(run(settings));
}

} // namespace

auto run_gateway_command(const arguments& words, command_io& io) -> exit_code
{
    return run_role<gateway_settings>("gateway", gateway_schema, run_gateway, words, io);
}

auto run_sidecar_command(const arguments& words, command_io& io) -> exit_code
{
    return run_role<sidecar_settings>("sidecar", sidecar_schema, run_sidecar, words, io);
}

} // namespace dragonflymill::app
