#pragma once

#include "dragonflymill/core/error.h"

#include <string>

namespace dragonflymill::runtime {

/// Reads a whole file of at most `max_bytes`.
[[nodiscard]] auto read_text_file(const std::string& path, std::size_t max_bytes) -> result<std::string>;

/// Reads a key file: its text without the white space around it; an error if nothing is left.
[[nodiscard]] auto read_key_file(const std::string& path) -> result<std::string>;

} // namespace dragonflymill::runtime
