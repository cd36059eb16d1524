#pragma once

#include "app/command.h"
#include "settings/socket_address.h"

#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Calls `act` with each admin address in `texts` and reports every failure; a failure does not stop the
/// others. Returns the exit code of the first failure, or `usage`, without any call, if an address can't be
/// parsed.
[[nodiscard]] auto for_each_target(const std::vector<std::string>& texts, command_io& io,
                                   const std::function<result<void>(const socket_address&)>& act)
    -> exit_code;

} // namespace dragonflymill::app
