#pragma once

#include "dragonflymill/core/error.h"

namespace dragonflymill::app {

/// Exit status of the program; docs/cli.md documents each value.
enum class exit_code
{
    success = 0,     ///< Success.
    failure = 1,     ///< Any failure that no other code covers.
    usage = 2,       ///< The command line is invalid.
    invalid = 3,     ///< A settings file, bundle, key or time line is invalid.
    unreachable = 4, ///< A required file or process can't be reached.
    refused = 5,     ///< The other process or a signature check rejected the operation.
    superseded = 6,  ///< A sidecar was paused for longer than its lease and must be restarted.
};

/// Returns the exit code for an error that ends a command.
[[nodiscard]] constexpr auto exit_code_of(error_kind kind) -> exit_code
{
    switch (kind) {
    case error_kind::invalid_input:
    case error_kind::corrupt:
        return exit_code::invalid;
    case error_kind::not_found:
    case error_kind::unavailable:
    case error_kind::timed_out:
        return exit_code::unreachable;
    case error_kind::unauthorized:
    case error_kind::conflict:
        return exit_code::refused;
    case error_kind::limit_reached:
    case error_kind::internal:
        return exit_code::failure;
    }
    return exit_code::failure;
}

} // namespace dragonflymill::app
