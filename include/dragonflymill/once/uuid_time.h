#pragma once

#include "dragonflymill/core/time.h"

#include <optional>
#include <string_view>

namespace dragonflymill {

/// Returns the timestamp of a version 7 UUID, in ms resolution; nothing for any other text. The timestamp of
/// such a key shows whether an earlier incarnation of a sidecar can have received it.
[[nodiscard]] auto uuid_v7_time(std::string_view text) -> std::optional<wall_instant>;

} // namespace dragonflymill
