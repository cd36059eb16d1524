#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle check`.
[[nodiscard]] auto run_bundle_check(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
