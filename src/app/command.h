#pragma once

#include "app/exit_code.h"

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Words of a command line after the command's own name.
using arguments = std::vector<std::string>;

/// Where a command writes.
struct command_io
{
    std::ostream& out; ///< What was asked for.
    std::ostream& err; ///< Everything else.
};

/// A subcommand of the program.
struct command
{
    const char* name;                                                ///< Name on the command line.
    const char* summary;                                             ///< What it does; one line.
    auto(*run)(const arguments& words, command_io& io) -> exit_code; ///< Runs it.
};

/// Runs the command that the first word names; `program` is what stands before it, for the help.
[[nodiscard]] auto run_command(const char* program, std::span<const command> commands, const arguments& words,
                               command_io& io) -> exit_code;

/// Writes an error and gives its exit code.
[[nodiscard]] auto report(const error& failed, command_io& io) -> exit_code;

} // namespace dragonflymill::app
