#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle push`: sends a signed bundle to running processes.
[[nodiscard]] auto run_bundle_push(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
