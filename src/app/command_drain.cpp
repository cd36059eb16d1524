#include "app/command_drain.h"

#include "app/admin_client.h"
#include "app/admin_targets.h"
#include "app/option_set.h"

namespace dragonflymill::app {

auto run_drain(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> targets;
    option_set options("dragonflymill drain ADDRESS...",
                       "Begins the planned stop of processes, as SIGTERM does: they take no new work, finish "
                       "what they have and exit.");
    options.positional("an admin address", targets, 1, 10'000);
    options.example("dragonflymill drain 127.0.0.1:9080", "stops the process whose [listen] admin that is");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    return for_each_target(targets, io, [&](const socket_address& target) -> result<void> {
        const auto response = call_admin(target, {"POST", "/admin/drain", {}, ""});
        if (response.has_error()) {
            return response.error();
        }
        io.out << to_text(target) << ": draining\n";
        return success();
    });
}

} // namespace dragonflymill::app
