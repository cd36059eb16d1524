#pragma once

#include "dragonflymill/core/error.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// SHA-256 digest; the key of content-addressed data.
class sha256_digest
{
public:
    /// Size in bytes.
    static constexpr std::size_t size = 32;
    /// The bytes of a digest.
    using bytes_type = std::array<std::uint8_t, size>;

    sha256_digest() = default;
    /// Creates a digest from its bytes.
    explicit sha256_digest(const bytes_type& bytes)
        : bytes_(bytes)
    {
    }
    /// Parses 64 lower-case hexadecimal digits.
    [[nodiscard]] static auto from_hex(std::string_view text) -> result<sha256_digest>;

    /// The raw bytes.
    [[nodiscard]] auto bytes() const -> const bytes_type& { return bytes_; }
    /// 64 lower-case hexadecimal digits.
    [[nodiscard]] auto hex() const -> std::string;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the zero in the rewritten a < b
    friend auto operator<=>(const sha256_digest&, const sha256_digest&) -> std::strong_ordering = default;

private:
    bytes_type bytes_{};
};

/// Returns the SHA-256 of `text`.
[[nodiscard]] auto sha256(std::string_view text) -> sha256_digest;

/// Encodes bytes as lower-case hexadecimal digits.
[[nodiscard]] auto to_hex(std::string_view bytes) -> std::string;

/// Decodes lower-case hexadecimal digits; returns `invalid_input` for anything else.
[[nodiscard]] auto from_hex(std::string_view text) -> result<std::string>;

} // namespace dragonflymill
