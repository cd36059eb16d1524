#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill settings`.
[[nodiscard]] auto run_settings(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
