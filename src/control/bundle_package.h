#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "dragonflymill/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// A signed bundle as one file: the signed manifest, then the sections it names, in its order.
struct bundle_package
{
    signed_manifest manifest;          ///< Manifest with the signatures so far.
    std::vector<std::string> sections; ///< Texts of the sections, in the manifest's order.
    bundle content;                    ///< What the sections say.
};

/// Largest package, in bytes.
inline constexpr std::size_t max_package_bytes = std::size_t{16} << 20U;

/// The package of a bundle that nobody has signed yet.
[[nodiscard]] auto package_of(const bundle& value) -> bundle_package;

/// The package as one text.
[[nodiscard]] auto encode_package(const bundle_package& package) -> std::string;

/// Reads the text of a package and checks every section against the manifest. Checks no signature.
[[nodiscard]] auto decode_package(std::string_view text) -> result<bundle_package>;

/// Whether a text is meant as a package, not as a bundle's source.
[[nodiscard]] auto is_package(std::string_view text) -> bool;

/// Reads a package from its file, or makes an unsigned one from a bundle's source file.
[[nodiscard]] auto load_package(const std::string& path) -> result<bundle_package>;

} // namespace dragonflymill
