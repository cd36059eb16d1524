#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill version`: prints the program version.
[[nodiscard]] auto run_version(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
