#pragma once

#include <optional>
#include <string>

namespace dragonflymill::runtime {

/// Decodes standard base64 with padding; surrounding white space is ignored. Returns nothing if `text` is not
/// valid base64.
[[nodiscard]] auto decode_base64(const std::string& text) -> std::optional<std::string>;

} // namespace dragonflymill::runtime
