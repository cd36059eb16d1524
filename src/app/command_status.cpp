#include "app/command_status.h"

#include "app/admin_client.h"
#include "app/admin_targets.h"
#include "app/option_set.h"
#include "control/process_status.h"

namespace dragonflymill::app {

auto run_status(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> targets;
    bool json = false;
    option_set options(
        "dragonflymill status ADDRESS... [--json]",
        "Shows whether processes are ready, which bundle they have in force, and their upstreams.");
    options.flag("json", "print the processes' answers as they are", json);
    options.positional("an admin address", targets, 1, 10'000);
    options.example("dragonflymill status 127.0.0.1:9080", "asks the process whose [listen] admin that is");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    return for_each_target(targets, io, [&](const socket_address& target) -> result<void> {
        const auto response = call_admin(target, {"GET", "/admin/status", {}, ""});
        if (response.has_error()) {
            return response.error();
        }
        const auto status = parse_process_status(response.value().body);
        if (status.has_error()) {
            return status.error();
        }
        io.out << (json ? response.value().body : to_text(status.value()));
        return success();
    });
}

} // namespace dragonflymill::app
