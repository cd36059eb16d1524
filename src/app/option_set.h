#pragma once

#include "app/command.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Options of a command, bound to the variables that take their values.
class option_set
{
public:
    /// `usage` is the command line in short, such as `dragonflymill timeline FILE... [--out FILE]`; `about`
    /// says what the command does.
    option_set(std::string usage, std::string about);
    ~option_set();
    option_set(const option_set&) = delete;
    auto operator=(const option_set&) -> option_set& = delete;

    /// An option without a value.
    void flag(const char* name, const char* help, bool& target);
    /// An option with a value.
    void text(const char* name, const char* help, std::string& target);
    /// An option with a value that may be given several times.
    void texts(const char* name, const char* help, std::vector<std::string>& target);
    /// Words that belong to no option: from `least` to `most` of them.
    void positional(const char* name, std::vector<std::string>& target, std::size_t least, std::size_t most);
    /// A command line that shows the command's use, with what it does.
    void example(std::string line, std::string what);

    /// Reads `words` into the variables. The answer is the exit code if the command is not to go on: after
    /// `--help`, or when the words are wrong.
    [[nodiscard]] auto parse(const arguments& words, command_io& io) -> std::optional<exit_code>;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::app
