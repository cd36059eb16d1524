#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill settings`: prints a settings file or table with every key of a role.
[[nodiscard]] auto run_settings(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
