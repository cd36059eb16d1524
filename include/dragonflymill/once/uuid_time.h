#pragma once

#include "dragonflymill/core/time.h"

#include <optional>
#include <string_view>

namespace dragonflymill {

/// The time inside a UUID of version 7, to the millisecond; nothing for any other text. Such a key tells when
/// the caller made it, and so whether an earlier incarnation of a sidecar can have seen it.
[[nodiscard]] auto uuid_v7_time(std::string_view text) -> std::optional<wall_instant>;

} // namespace dragonflymill
