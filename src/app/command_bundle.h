#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle`: runs one of the bundle subcommands.
[[nodiscard]] auto run_bundle(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
