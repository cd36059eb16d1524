#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle new`: prints a sample bundle source.
[[nodiscard]] auto run_bundle_new(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
