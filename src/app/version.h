#pragma once

namespace dragonflymill::app {

/// Version of the program, as `dragonflymill version` prints it.
[[nodiscard]] auto version_text() -> const char*;

} // namespace dragonflymill::app
