#pragma once

#include "app/command.h"

namespace dragonflymill::app {

/// Returns every command of the program.
[[nodiscard]] auto program_commands() -> std::span<const command>;

/// Runs the program with the words of its command line, without the program's name.
[[nodiscard]] auto run_program(const arguments& words, command_io& io) -> exit_code;

} // namespace dragonflymill::app
