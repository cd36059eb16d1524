#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle verify`.
[[nodiscard]] auto run_bundle_verify(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
