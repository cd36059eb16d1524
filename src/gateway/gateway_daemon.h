#pragma once

#include "settings/gateway_settings.h"

namespace dragonflymill {

/// Runs a gateway until it is stopped. Returns the exit code of the process.
[[nodiscard]] auto run_gateway(const gateway_settings& settings) -> int;

} // namespace dragonflymill
