#pragma once

#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>

namespace dragonflymill::app {

/// Permissions of a written file.
enum class file_access
{
    shared,     ///< Read and write for all, less the umask.
    owner_only, ///< Owner only, for secrets such as private keys.
};

/// Writes `text` to a file. An existing file is replaced with `shared` and left untouched with `owner_only`,
/// which fails instead. Errors are of kind `unavailable`.
[[nodiscard]] auto write_file(const std::string& path, std::string_view text,
                              file_access access = file_access::shared) -> result<void>;

} // namespace dragonflymill::app
