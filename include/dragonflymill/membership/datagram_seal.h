#pragma once

#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Authenticates datagrams with HMAC-SHA256, so that only processes with the fleet's key are trusted. A
/// second key may be accepted during key rotation.
class datagram_seal
{
public:
    /// Size of the authentication code, in bytes.
    static constexpr std::size_t size = 16;
    /// Minimum key length, in bytes.
    static constexpr std::size_t min_key_bytes = 16;

    /// Creates a seal that signs with the first key and accepts every key. Fails unless there are one or two
    /// keys of at least `min_key_bytes` bytes.
    [[nodiscard]] static auto create(std::vector<std::string> keys) -> result<datagram_seal>;

    /// Returns the content with its authentication code prepended.
    [[nodiscard]] auto seal(std::string_view content) const -> std::string;
    /// Returns the content of a sealed datagram; an error if its authentication code matches no key.
    [[nodiscard]] auto open(std::string_view sealed) const -> result<std::string_view>;

private:
    explicit datagram_seal(std::vector<std::string> keys)
        : keys_(std::move(keys))
    {
    }
    std::vector<std::string> keys_;
};

} // namespace dragonflymill
