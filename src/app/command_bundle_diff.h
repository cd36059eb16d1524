#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle diff`: prints the differences between two bundles.
[[nodiscard]] auto run_bundle_diff(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
