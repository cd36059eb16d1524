#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill timeline`.
[[nodiscard]] auto run_timeline(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
