#pragma once

#include "dragonflymill/bundle/ed25519.h"
#include "dragonflymill/core/error.h"

#include <string>

namespace dragonflymill::app {

/// Reads a partner's private key from a PEM file of at most 16 KiB. An error names the file.
[[nodiscard]] auto load_private_key(const std::string& path) -> result<ed25519_private_key>;

} // namespace dragonflymill::app
