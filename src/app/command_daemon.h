#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill gateway`: the gateway daemon, until it is stopped.
[[nodiscard]] auto run_gateway_command(const arguments& words, command_io& io) -> exit_code;

/// Runs `dragonflymill sidecar`: the sidecar daemon, until it is stopped.
[[nodiscard]] auto run_sidecar_command(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
