#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Every command of the program.
[[nodiscard]] auto program_commands() -> std::span<const command>;

/// Runs the program with the words of its command line, its own name left out.
[[nodiscard]] auto run_program(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
