#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/membership/datagram.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// Encodes a datagram, without its seal.
[[nodiscard]] auto encode_datagram(const datagram& message) -> std::string;

/// Decodes a datagram; returns `corrupt` if it is too large, incomplete or out of bounds. Allocates at most a
/// small multiple of the datagram's size.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> result<datagram>;

} // namespace dragonflymill
