#pragma once

#include <cstddef>

namespace dragonflymill::runtime {

/// Descriptors that callers' connections may take of what the system allows this process; the others are for
/// connections to sidecars, the control plane, admin calls and files.
[[nodiscard]] auto descriptors_for_callers() -> std::size_t;

} // namespace dragonflymill::runtime
