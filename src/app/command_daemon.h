#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill gateway`.
[[nodiscard]] auto run_gateway_command(const arguments& words, command_io& io) -> exit_code;

/// Runs `dragonflymill sidecar`.
[[nodiscard]] auto run_sidecar_command(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
