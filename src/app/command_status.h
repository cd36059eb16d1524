#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill status`: prints the status of processes.
[[nodiscard]] auto run_status(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
