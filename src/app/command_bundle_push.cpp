#include "app/command_bundle_push.h"

#include "app/admin_client.h"
#include "app/admin_targets.h"
#include "app/option_set.h"
#include "control/bundle_package.h"

namespace dragonflymill::app {

namespace {

constexpr std::size_t required_signatures = 2;

} // namespace

auto run_bundle_push(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    std::vector<std::string> targets;
    option_set options("dragonflymill bundle push FILE --to ADDRESS [--to ADDRESS]...",
                       "Gives a signed bundle to processes, which check it as they check any other.");
    options.texts("to", "a process's [listen] admin", targets);
    options.positional("the signed bundle", files, 1, 1);
    options.example("dragonflymill bundle push bundle.signed --to 127.0.0.1:9080", "gives it to one process");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (targets.empty()) {
        io.err << "--to is missing; name a process's admin address\n";
        return exit_code::usage;
    }
    const auto package = load_package(files.front());
    if (package.has_error()) {
        return report(package.error(), io);
    }
    const std::size_t signatures = package.value().manifest.signatures.size();
    if (signatures != required_signatures) {
        return report(error(error_kind::unauthorized,
                            files.front() + " has " + std::to_string(signatures) + " of 2 signatures",
                            "let both partners sign it with `dragonflymill bundle sign`"),
                      io);
    }
    const std::string body = encode_package(package.value());
    return for_each_target(targets, io, [&](const socket_address& target) -> result<void> {
        const auto response = call_admin(target, {"POST", "/admin/bundle", {}, body});
        if (response.has_error()) {
            return response.error();
        }
        io.out << to_text(target) << ": taken\n";
        return success();
    });
}

} // namespace dragonflymill::app
