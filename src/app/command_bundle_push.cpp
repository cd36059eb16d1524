#include "app/command_bundle_push.h"

#include "app/address_targets.h"
#include "app/bundle_package.h"
#include "app/option_set.h"
#include "control/peer_client.h"

namespace dragonflymill::app {

namespace {

constexpr std::size_t signatures_needed = 2;
constexpr duration answer_deadline = 5s;

} // namespace

auto run_bundle_push(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    std::vector<std::string> targets;
    option_set options("dragonflymill bundle push FILE --to ADDRESS [--to ADDRESS]...",
                       "Gives a signed bundle to processes, which check it as they check any other and pass "
                       "it on to the rest of "
                       "the fleet.");
    options.texts("to", "a process's [control] peer_listen", targets);
    options.positional("the signed bundle", files, 1, 1);
    options.example("dragonflymill bundle push bundle.signed --to 127.0.0.1:7300",
                    "gives it to one process; the others hear of it from there");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    if (targets.empty()) {
        io.err << "--to is missing; name a process's [control] peer_listen\n";
        return exit_code::usage;
    }
    const auto package = load_package(files.front());
    if (package.has_error()) {
        return report(package.error(), io);
    }
    const std::size_t signatures = package.value().manifest.signatures.size();
    if (signatures != signatures_needed) {
        return report(error(error_kind::unauthorized,
                            files.front() + " has " + std::to_string(signatures) + " of 2 signatures",
                            "let both partners sign it with `dragonflymill bundle sign`"),
                      io);
    }
    const control::pushed_bundle pushed{encode_signed_manifest(package.value().manifest),
                                        package.value().sections};
    const control::peer_client client(answer_deadline);
    return for_each_target(targets, io, [&](const socket_address& target) -> result<void> {
        const auto done = client.push(to_text(target), pushed);
        if (done.has_error()) {
            return at_target(target, done.error());
        }
        io.out << to_text(target) << ": taken\n";
        return success();
    });
}

} // namespace dragonflymill::app
