#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// A part of a bundle's canonical text. An entry always belongs to the same section, so a change of one entry
/// changes one section, and only that section is fetched.
struct bundle_section
{
    std::string name; ///< Path within the bundle, such as `accounts/07`.
    std::string text; ///< Canonical text of its entries.

    friend auto operator==(const bundle_section&, const bundle_section&) -> bool = default;
};

/// Largest section, in bytes: the size limit of one key of the configuration service.
inline constexpr std::size_t max_section_bytes = std::size_t{1} << 20U;
/// Number of sections for upstreams, and likewise for accounts. Derived in docs/design/bundle.md.
inline constexpr std::size_t section_buckets = 32;
/// Maximum number of sections: both sets of buckets plus head, models and routes.
inline constexpr std::size_t max_sections = 2 * section_buckets + 3;

/// Encodes the canonical text: sorted, without comments, exactly one text per bundle.
[[nodiscard]] auto encode_bundle(const bundle& value) -> std::string;

/// Decodes canonical text; returns an error for any other text, even if only order or spelling differ.
[[nodiscard]] auto decode_bundle(std::string_view text) -> result<bundle>;

/// Splits a bundle into sections, sorted by name, without empty ones.
[[nodiscard]] auto split_bundle(const bundle& value) -> std::vector<bundle_section>;

/// Joins sections into a bundle; returns an error if `split_bundle` would not produce exactly these sections.
[[nodiscard]] auto join_bundle(const std::vector<bundle_section>& sections) -> result<bundle>;

/// SHA-256 of the canonical text.
[[nodiscard]] auto digest_of(const bundle& value) -> sha256_digest;

} // namespace dragonflymill
