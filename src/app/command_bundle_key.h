#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle key`.
[[nodiscard]] auto run_bundle_key(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
