#pragma once

namespace dragonflymill::app {

/// Returns the program's name and version, as `dragonflymill version` prints them.
[[nodiscard]] auto version_text() -> const char*;

} // namespace dragonflymill::app
