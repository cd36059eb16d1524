#pragma once

#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// Encodes a datagram between gateways.
[[nodiscard]] auto encode_datagram(const direct::peer_datagram& datagram) -> std::string;
/// Decodes a datagram; `nullopt` if it is malformed, empty or names no gateway.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> std::optional<direct::peer_datagram>;
/// Encodes a records update for another gateway.
[[nodiscard]] auto encode_records_update(const direct::records_update& update) -> std::string;
/// Decodes a records update; `nullopt` if it is malformed.
[[nodiscard]] auto decode_records_update(std::string_view bytes) -> std::optional<direct::records_update>;

} // namespace dragonflymill::edge
