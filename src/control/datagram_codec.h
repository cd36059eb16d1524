#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/membership/datagram.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// The bytes of a datagram, without its seal.
[[nodiscard]] auto encode_datagram(const datagram& message) -> std::string;

/// Reads a datagram; refuses what is too large, incomplete or out of its bounds. It never allocates more than
/// a small multiple of the datagram's size.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> result<datagram>;

} // namespace dragonflymill
