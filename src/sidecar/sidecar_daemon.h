#pragma once

#include "settings/sidecar_settings.h"

namespace dragonflymill {

/// Runs a sidecar until it is stopped or superseded. Returns the exit code of the process.
[[nodiscard]] auto run_sidecar(const sidecar_settings& settings) -> int;

} // namespace dragonflymill
