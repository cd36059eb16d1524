#include "app/version.h"

namespace dragonflymill::app {

auto version_text() -> const char*
{
    return "dragonflymill 0.1.0";
}

} // namespace dragonflymill::app
