#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill timeline`: merges the time lines of several processes.
[[nodiscard]] auto run_timeline(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
