#pragma once

#include "settings/sidecar_settings.h"

namespace dragonflymill {

/// Runs a sidecar until it is told to stop; the answer is the process's exit code.
[[nodiscard]] auto run_sidecar(const sidecar_settings& settings) -> int;

} // namespace dragonflymill
