#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill explain`: prints what all processes decided about one request.
[[nodiscard]] auto run_explain(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
