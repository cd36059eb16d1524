#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// A signed bundle as one file: the signed manifest followed by its sections, in the manifest's order.
struct bundle_package
{
    signed_manifest manifest;          ///< Manifest with the signatures so far.
    std::vector<std::string> sections; ///< Texts of the sections, in the manifest's order.
    bundle content;                    ///< The bundle decoded from the sections.
};

/// Largest package, in bytes.
inline constexpr std::size_t max_package_bytes = std::size_t{16} << 20U;

/// Builds the package of an unsigned bundle.
[[nodiscard]] auto package_of(const bundle& value) -> bundle_package;

/// Encodes the package as text.
[[nodiscard]] auto encode_package(const bundle_package& package) -> std::string;

/// Decodes a package and verifies every section against the manifest. Does not verify signatures.
[[nodiscard]] auto decode_package(std::string_view text) -> result<bundle_package>;

/// Whether a text is a package rather than a bundle's source.
[[nodiscard]] auto is_package(std::string_view text) -> bool;

/// Loads a package file, or builds an unsigned package from a bundle's source file.
[[nodiscard]] auto load_package(const std::string& path) -> result<bundle_package>;

} // namespace dragonflymill
