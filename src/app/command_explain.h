#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Runs `dragonflymill explain`: prints the log lines of all processes about one request, ordered by time.
[[nodiscard]] auto run_explain(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
