#pragma once

#include "dragonflymill/core/error.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// SHA-256 of some bytes: the name under which content-addressed data travels.
class sha256_digest
{
public:
    /// Size in bytes.
    static constexpr std::size_t size = 32;
    /// The bytes of a digest.
    using bytes_type = std::array<std::uint8_t, size>;

    sha256_digest() = default;
    /// Wraps the bytes of a digest.
    explicit sha256_digest(const bytes_type& bytes)
        : bytes_(bytes)
    {
    }
    /// Reads 64 lower-case hexadecimal digits.
    [[nodiscard]] static auto from_hex(std::string_view text) -> result<sha256_digest>;

    /// The bytes.
    [[nodiscard]] auto bytes() const -> const bytes_type& { return bytes_; }
    /// 64 lower-case hexadecimal digits.
    [[nodiscard]] auto hex() const -> std::string;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const sha256_digest&, const sha256_digest&) -> std::strong_ordering = default;

private:
    bytes_type bytes_{};
};

/// SHA-256 of `text`.
[[nodiscard]] auto sha256(std::string_view text) -> sha256_digest;

/// Bytes as lower-case hexadecimal digits.
[[nodiscard]] auto to_hex(std::string_view bytes) -> std::string;

/// Bytes from lower-case hexadecimal digits.
[[nodiscard]] auto from_hex(std::string_view text) -> result<std::string>;

} // namespace dragonflymill
