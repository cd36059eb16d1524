#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill cordon`: takes a failure domain or a host out of service or back into service.
[[nodiscard]] auto run_cordon(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
