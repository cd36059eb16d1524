#include "app/program.h"

#include <cstdlib>
#include <exception>
#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace dragonflymill::app;
    try {
        command_io io{std::cout, std::cerr};
        const auto code = static_cast<int>(run_program(arguments(argv + 1, argv + argc), io));
        std::cout.flush();
        // All files and sockets of the program are closed by now. Threads of the RPC transport may still be
        // releasing their last calls; skipping static destructors keeps them from using destroyed objects.
        std::quick_exit(code);
    }
    catch (const std::exception& failed) {
        std::cerr << "internal fault: " << failed.what() << "; report it with what led to it\n";
        return static_cast<int>(exit_code::failure);
    }
}
