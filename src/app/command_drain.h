#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill drain`: begins the planned stop of processes.
[[nodiscard]] auto run_drain(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
