#pragma once

#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Seals datagrams with HMAC-SHA256, so that only processes that know the fleet's key are listened to. A
/// second key may be accepted while the key is being changed.
class datagram_seal
{
public:
    /// Bytes that a seal adds.
    static constexpr std::size_t size = 16;
    /// Shortest key taken, in bytes.
    static constexpr std::size_t min_key_bytes = 16;

    /// Seals with the first key and accepts any of them; one or two keys of at least 16 bytes.
    [[nodiscard]] static auto create(std::vector<std::string> keys) -> result<datagram_seal>;

    /// The content with its seal in front.
    [[nodiscard]] auto seal(std::string_view content) const -> std::string;
    /// The content of a sealed text; an error if no key fits.
    [[nodiscard]] auto open(std::string_view sealed) const -> result<std::string_view>;

private:
    explicit datagram_seal(std::vector<std::string> keys)
        : keys_(std::move(keys))
    {
    }
    std::vector<std::string> keys_;
};

} // namespace dragonflymill
