#pragma once

#include "app/process_status.h"
#include "dragonflymill/core/error.h"
#include "settings/socket_address.h"

namespace dragonflymill::app {

/// Path under which a process's admin address answers with its status.
inline constexpr const char* status_path = "/admin/status";

/// Asks a process for its status at its admin address and waits for the answer, a few seconds at most.
[[nodiscard]] auto fetch_status(const socket_address& address) -> result<process_status>;

} // namespace dragonflymill::app
