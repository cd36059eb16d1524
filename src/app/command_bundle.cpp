#include "app/command_bundle.h"

#include "app/command_bundle_check.h"
#include "app/command_bundle_diff.h"
#include "app/command_bundle_key.h"
#include "app/command_bundle_new.h"
#include "app/command_bundle_push.h"
#include "app/command_bundle_sign.h"
#include "app/command_bundle_verify.h"

#include <array>

namespace dragonflymill::app {

namespace {

constexpr auto bundle_commands = std::to_array<command>({
    {"new", "prints a bundle's source text to start from", run_bundle_new},
    {"check", "names every mistake in a bundle", run_bundle_check},
    {"diff", "shows how two bundles differ", run_bundle_diff},
    {"key", "makes a partner's key pair, or shows a key's public half", run_bundle_key},
    {"push", "gives a signed bundle to running processes", run_bundle_push},
    {"sign", "signs a bundle as one of the two partners", run_bundle_sign},
    {"verify", "checks that both partners signed a bundle", run_bundle_verify},
});

} // namespace

auto run_bundle(const arguments& words, command_io& io) -> exit_code
{
    return run_command("dragonflymill bundle", bundle_commands, words, io);
}

} // namespace dragonflymill::app
