#pragma once

#include "app/exit_code.h"

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// The words of a command line that follow the command's name.
using arguments = std::vector<std::string>;

/// Output streams of a command.
struct command_io
{
    std::ostream& out; ///< The command's results.
    std::ostream& err; ///< Errors and usage messages.
};

/// A subcommand of the program.
struct command
{
    const char* name;                                                ///< Its name on the command line.
    const char* summary;                                             ///< One-line description for the help.
    auto(*run)(const arguments& words, command_io& io) -> exit_code; ///< Runs the command.
};

/// Runs the command named by the first word. `program` is the text before that word, as shown in the help.
/// Returns `usage` if the word is missing or unknown.
[[nodiscard]] auto run_command(const char* program, std::span<const command> commands, const arguments& words,
                               command_io& io) -> exit_code;

/// Writes an error with its remedy to `io.err` and returns its exit code.
[[nodiscard]] auto report(const error& failed, command_io& io) -> exit_code;

} // namespace dragonflymill::app
