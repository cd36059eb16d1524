#include "app/program.h"

#include "app/command_bundle.h"
#include "app/command_cordon.h"
#include "app/command_daemon.h"
#include "app/command_drain.h"
#include "app/command_explain.h"
#include "app/command_settings.h"
#include "app/command_status.h"
#include "app/command_timeline.h"
#include "app/command_version.h"
#include "platform/platform_gateway.h"

#include <array>

namespace dragonflymill::app {

namespace {

constexpr auto commands = std::to_array<command>({
    {"bundle", "makes, checks, compares and signs configuration bundles", run_bundle},
    {"cordon", "takes a failure domain or host out of service, or back", run_cordon},
    {"drain", "begins a planned stop of processes", run_drain},
    {"explain", "prints what all processes decided about one request", run_explain},
    {"gateway", "runs a gateway", run_gateway_command},
    {"platform-gateway", "runs a gateway on the users' platform", platform::run_platform_gateway},
    {"settings", "prints a settings file to start from", run_settings},
    {"sidecar", "runs a sidecar", run_sidecar_command},
    {"status", "shows how processes are", run_status},
    {"timeline", "merges the time lines of many processes", run_timeline},
    {"version", "prints the version", run_version},
});

} // namespace

auto program_commands() -> std::span<const command>
{
    return commands;
}

auto run_program(const arguments& words, command_io& io) -> exit_code
{
    if (!words.empty() && words.front() == "--version") {
        return run_version({}, io);
    }
    return run_command("dragonflymill", commands, words, io);
}

} // namespace dragonflymill::app
