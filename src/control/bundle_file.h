#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/error.h"

#include <string>

namespace dragonflymill {

/// Reads a whole file of at most `limit` bytes.
[[nodiscard]] auto read_file(const std::string& path, std::size_t limit) -> result<std::string>;

/// Reads an unsigned bundle from its source file; the error lists every mistake with its line.
[[nodiscard]] auto load_bundle_file(const std::string& path) -> result<bundle>;

} // namespace dragonflymill
