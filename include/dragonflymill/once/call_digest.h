#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace dragonflymill {

/// First 128 bits of a SHA-256. Identifies an idempotency key or a body without storing its text.
struct call_digest
{
    std::uint64_t high = 0; ///< First 64 bits.
    std::uint64_t low = 0;  ///< Next 64 bits.

    friend auto operator==(const call_digest&, const call_digest&) -> bool = default;
};

/// Returns the digest of `parts`. Each part is prefixed with its length, so different lists of parts never
/// hash the same bytes.
[[nodiscard]] auto digest_of(std::initializer_list<std::string_view> parts) -> call_digest;

/// Hash of a digest for hashed containers. The bits of a digest are uniform already.
struct call_digest_hash
{
    [[nodiscard]] auto operator()(const call_digest& value) const noexcept -> std::size_t
    {
        return static_cast<std::size_t>(value.low);
    }
};

} // namespace dragonflymill
