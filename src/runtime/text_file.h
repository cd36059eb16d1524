#pragma once

#include "dragonflymill/core/error.h"

#include <string>

namespace dragonflymill::runtime {

/// Reads a file of at most `max_bytes`. Fails with `not_found` if it can't be opened and `limit_reached` if
/// it is larger.
[[nodiscard]] auto read_text_file(const std::string& path, std::size_t max_bytes) -> result<std::string>;

/// Reads a key file of at most 4,096 bytes and trims surrounding white space. Fails with `invalid_input` if
/// no path is set or the file is empty.
[[nodiscard]] auto read_key_file(const std::string& path) -> result<std::string>;

} // namespace dragonflymill::runtime
