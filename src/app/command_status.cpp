#include "app/command_status.h"

#include "app/address_targets.h"
#include "app/option_set.h"
#include "app/status_client.h"

namespace dragonflymill::app {

auto run_status(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> targets;
    bool json = false;
    option_set options(
        "dragonflymill status ADDRESS... [--json]",
        "Shows whether processes are ready, which bundle they have in force, and their upstreams.");
    options.flag("json", "print JSON, a line for each process", json);
    options.positional("an admin address", targets, 1, 10'000);
    options.example("dragonflymill status 127.0.0.1:9080", "asks the process whose [listen] admin that is");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    return for_each_target(targets, io, [&](const socket_address& target) -> result<void> {
        const auto status = fetch_status(target);
        if (status.has_error()) {
            return status.error();
        }
        io.out << (json ? to_json(status.value()) : to_text(status.value()));
        return success();
    });
}

} // namespace dragonflymill::app
