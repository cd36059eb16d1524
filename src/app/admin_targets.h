#pragma once

#include "app/command.h"
#include "settings/socket_address.h"

#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Does `act` for the admin address in each of `texts`, also after one failed, and reports every failure. The
/// answer is the exit code of the first failure.
[[nodiscard]] auto for_each_target(const std::vector<std::string>& texts, command_io& io,
                                   const std::function<result<void>(const socket_address&)>& act)
    -> exit_code;

} // namespace dragonflymill::app
