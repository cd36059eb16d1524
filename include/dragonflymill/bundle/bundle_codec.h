#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// A part of a bundle's canonical text. Entries keep their section for good, so that a change of one entry
/// changes one section and only that one travels.
struct bundle_section
{
    std::string name; ///< Its place, such as `accounts/07`.
    std::string text; ///< Canonical text of its entries.

    friend auto operator==(const bundle_section&, const bundle_section&) -> bool = default;
};

/// Largest section, in bytes: what the configuration service holds under one key.
inline constexpr std::size_t max_section_bytes = std::size_t{1} << 20U;
/// Sections that upstreams are spread over, and again accounts. Worked out in docs/design/bundle.md.
inline constexpr std::size_t section_buckets = 32;
/// Most sections of a bundle.
inline constexpr std::size_t max_sections = 2 * section_buckets + 3;

/// The canonical text: one way to write each bundle, sorted, without comments.
[[nodiscard]] auto encode_bundle(const bundle& value) -> std::string;

/// Reads canonical text; anything else, be it only in order or spelling, is refused.
[[nodiscard]] auto decode_bundle(std::string_view text) -> result<bundle>;

/// The sections of a bundle, sorted by name; empty ones are left out.
[[nodiscard]] auto split_bundle(const bundle& value) -> std::vector<bundle_section>;

/// Puts sections together again and refuses what `split_bundle` would not have made.
[[nodiscard]] auto join_bundle(const std::vector<bundle_section>& sections) -> result<bundle>;

/// Digest of the canonical text.
[[nodiscard]] auto digest_of(const bundle& value) -> sha256_digest;

} // namespace dragonflymill
