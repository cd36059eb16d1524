#pragma once

#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// Writes a datagram between gateways.
[[nodiscard]] auto encode_datagram(const direct::peer_datagram& datagram) -> std::string;
/// Reads a datagram; nothing if it isn't one of ours.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> std::optional<direct::peer_datagram>;
/// Writes records as one gateway hands them to another.
[[nodiscard]] auto encode_extract(const direct::records_update& extract) -> std::string;
/// Reads them.
[[nodiscard]] auto decode_extract(std::string_view bytes) -> std::optional<direct::records_update>;

} // namespace dragonflymill::edge
