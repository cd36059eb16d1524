#include "app/command_cordon.h"

#include "app/admin_targets.h"
#include "app/option_set.h"
#include "control/drain_request.h"
#include "control/peer_client.h"
#include "runtime/clock.h"
#include "runtime/text_file.h"

namespace dragonflymill::app {

namespace {

constexpr duration response_timeout = 5s;

/// Values of the command line.
struct cordon_options
{
    std::string failure_domain;
    std::string host;
    std::string key_file;
    bool uncordon = false;
    std::vector<std::string> targets;
};

auto subject_of(const cordon_options& given) -> drain_subject
{
    if (given.host.empty()) {
        return failure_domain_id(given.failure_domain);
    }
    return host_id(given.host);
}

auto load_seal(const std::string& key_file) -> result<datagram_seal>
{
    auto key = runtime::read_key_file(key_file);
    if (key.has_error()) {
        return key.error();
    }
    return datagram_seal::create({std::move(key).value()});
}

auto send(const cordon_options& given, command_io& io) -> exit_code
{
    const auto seal = load_seal(given.key_file);
    if (seal.has_error()) {
        return report(seal.error(), io);
    }
    const auto sealed_request =
        control::seal_drain(seal.value(), subject_of(given), given.uncordon, runtime::wall_now());
    const control::peer_client client(response_timeout);
    return for_each_target(given.targets, io, [&](const socket_address& target) -> result<void> {
        const auto done = client.drain(to_text(target), sealed_request);
        if (done.has_error()) {
            return error(done.error().kind(), to_text(target) + ": " + done.error().message(),
                         done.error().remedy());
        }
        io.out << to_text(target) << ": " << (given.uncordon ? "back in service" : "out of service") << '\n';
        return success();
    });
}

} // namespace

auto run_cordon(const arguments& words, command_io& io) -> exit_code
{
    cordon_options given;
    option_set options(
        "dragonflymill cordon --failure-domain NAME|--host NAME --key-file FILE --to ADDRESS [--back]",
        "Takes a failure domain or a host out of service, or back: the process told passes it on to "
        "the fleet, and no new work goes there.");
    options.text("failure-domain", "the failure domain", given.failure_domain);
    options.text("host", "the host", given.host);
    options.text("key-file", "the fleet's key, as in [control] key_file", given.key_file);
    options.flag("back", "back into service", given.uncordon);
    options.texts("to", "a process's [control] peer_listen", given.targets);
    options.example("dragonflymill cordon --failure-domain b --key-file control.key --to 127.0.0.1:7300",
                    "no new work goes to failure domain b");
    options.example(
        "dragonflymill cordon --failure-domain b --back --key-file control.key --to 127.0.0.1:7300",
        "it takes work again, beginning with little");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    const bool one_subject = given.failure_domain.empty() != given.host.empty();
    if (!one_subject || given.key_file.empty() || given.targets.empty()) {
        io.err << "one of --failure-domain and --host, --key-file and --to are needed; see --help\n";
        return exit_code::usage;
    }
    return send(given, io);
}

} // namespace dragonflymill::app
