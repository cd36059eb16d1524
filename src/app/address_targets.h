#pragma once

#include "app/command.h"
#include "settings/socket_address.h"

#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::app {

/// Does `act` for the address in each of `texts`, also after one failed, and reports every failure. The
/// answer is the exit code of the first failure.
[[nodiscard]] auto for_each_target(const std::vector<std::string>& texts, command_io& io,
                                   const std::function<result<void>(const socket_address&)>& act)
    -> exit_code;

/// The error with the address at which it happened.
[[nodiscard]] auto at_target(const socket_address& target, const error& failed) -> error;

} // namespace dragonflymill::app
