#pragma once

#include "app/command.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Command-line options of one command, bound to the variables that receive their values.
class option_set
{
public:
    /// `usage` is the command's synopsis, such as `dragonflymill timeline FILE... [--out FILE]`; `about`
    /// describes the command. Both appear in the help.
    option_set(std::string usage, std::string about);
    ~option_set();
    option_set(const option_set&) = delete;
    auto operator=(const option_set&) -> option_set& = delete;

    /// Adds an option without a value.
    void flag(const char* name, const char* help, bool& target);
    /// Adds an option with a value.
    void text(const char* name, const char* help, std::string& target);
    /// Adds an option with a value that may be given several times.
    void texts(const char* name, const char* help, std::vector<std::string>& target);
    /// Accepts from `least` to `most` words that belong to no option; `name` appears in the error if too few
    /// are given.
    void positional(const char* name, std::vector<std::string>& target, std::size_t least, std::size_t most);
    /// Adds an example to the help: a command line and a description of its effect.
    void example(std::string line, std::string what);

    /// Parses `words` into the variables. Returns an exit code if the command must not run: `success` after
    /// `--help`, `usage` if the words are invalid. Writes the help or the error to `io`.
    [[nodiscard]] auto parse(const arguments& words, command_io& io) -> std::optional<exit_code>;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::app
