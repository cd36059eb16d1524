#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill bundle key`: creates a partner's key pair or prints its public key.
[[nodiscard]] auto run_bundle_key(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
