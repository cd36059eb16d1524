#pragma once

#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>

namespace dragonflymill::app {

/// Who may read a file that is written.
enum class file_access
{
    shared,     ///< As the user's mask says.
    owner_only, ///< The owner alone: it holds a secret.
};

/// Writes a whole new file; an existing one is replaced, but not one with a secret.
[[nodiscard]] auto write_file(const std::string& path, std::string_view text,
                              file_access access = file_access::shared) -> result<void>;

} // namespace dragonflymill::app
