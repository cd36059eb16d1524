#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle check`: checks a bundle and reports every mistake.
[[nodiscard]] auto run_bundle_check(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
