#include "app/command_version.h"

#include "app/option_set.h"
#include "app/version.h"

namespace dragonflymill::app {

auto run_version(const arguments& words, command_io& io) -> exit_code
{
    option_set options("dragonflymill version", "Prints the program's name and version.");
    options.example("dragonflymill version", "prints the version");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    io.out << version_text() << '\n';
    return exit_code::success;
}

} // namespace dragonflymill::app
