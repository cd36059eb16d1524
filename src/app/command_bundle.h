#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle`.
[[nodiscard]] auto run_bundle(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
