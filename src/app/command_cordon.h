#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill cordon`.
[[nodiscard]] auto run_cordon(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
