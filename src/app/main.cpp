#include "app/version.h"

#include <cstdio>

auto main() -> int
{
    std::puts(dragonflymill::app::version_text());
    return 0;
}
