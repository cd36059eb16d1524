#include "app/program.h"

#include <exception>
#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace dragonflymill::app;
    try {
        command_io io{std::cout, std::cerr};
        return static_cast<int>(run_program(arguments(argv + 1, argv + argc), io));
    }
    catch (const std::exception& failed) {
        std::cerr << "internal fault: " << failed.what() << "; report it with what led to it\n";
        return static_cast<int>(exit_code::failure);
    }
}
