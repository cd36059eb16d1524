#include "app/command.h"

#include <algorithm>
#include <cstddef>
#include <cstring>

namespace dragonflymill::app {

namespace {

void write_commands(const char* program, std::span<const command> commands, std::ostream& out)
{
    std::size_t widest = 0;
    for (const command& c : commands) {
        widest = std::max(widest, std::strlen(c.name));
    }
    out << "Usage: " << program << " COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const command& c : commands) {
        out << "  " << c.name << std::string(widest - std::strlen(c.name) + 2, ' ') << c.summary << '\n';
    }
    out << "\nExample: " << program << ' ' << commands.front().name << " --help\n";
}

} // namespace

auto run_command(const char* program, std::span<const command> commands, const arguments& words,
                 command_io& io) -> exit_code
{
    if (words.empty()) {
        write_commands(program, commands, io.err);
        return exit_code::usage;
    }
    if (words.front() == "--help" || words.front() == "-h") {
        write_commands(program, commands, io.out);
        return exit_code::success;
    }
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command& c) { return words.front() == c.name; });
    if (found == commands.end()) {
        io.err << "'" << words.front() << "' is not a command; see `" << program << " --help`\n";
        return exit_code::usage;
    }
    return found->run(arguments(words.begin() + 1, words.end()), io);
}

auto report(const error& failed, command_io& io) -> exit_code
{
    io.err << failed.message() << "; " << failed.remedy() << '\n';
    return exit_code_of(failed.kind());
}

} // namespace dragonflymill::app
