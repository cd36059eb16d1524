#pragma once

#include "dragonflymill/core/error.h"

namespace dragonflymill::app {

/// What the program's exit status says; docs/cli.md lists them.
enum class exit_code
{
    success = 0,     ///< All went well.
    failure = 1,     ///< It failed for a reason that no other code names.
    usage = 2,       ///< The command line is wrong.
    invalid = 3,     ///< A settings file, bundle, key or time line has mistakes.
    unreachable = 4, ///< A file or process that is needed can't be reached.
    refused = 5,     ///< The other side, or a signature check, said no.
    superseded = 6,  ///< A sidecar was paused for longer than its lease: start it anew.
};

/// The exit code for an error that ends a command.
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
