#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle sign`: adds a partner's signature to a bundle.
[[nodiscard]] auto run_bundle_sign(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
