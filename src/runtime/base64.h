#pragma once

#include <optional>
#include <string>

namespace dragonflymill::runtime {

/// Bytes of a text in standard base64 with padding; blanks around it don't count. Nothing if it is none.
[[nodiscard]] auto decode_base64(const std::string& text) -> std::optional<std::string>;

} // namespace dragonflymill::runtime
