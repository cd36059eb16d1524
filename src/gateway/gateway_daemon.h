#pragma once

#include "settings/gateway_settings.h"

namespace dragonflymill {

/// Runs a gateway until it is told to stop; the answer is the process's exit code.
[[nodiscard]] auto run_gateway(const gateway_settings& settings) -> int;

} // namespace dragonflymill
