#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle verify`: checks the signatures of both partners on a bundle.
[[nodiscard]] auto run_bundle_verify(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
