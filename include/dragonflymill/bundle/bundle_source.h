#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/ini_document.h"
#include "dragonflymill/core/error.h"

#include <string_view>
#include <vector>

namespace dragonflymill {

/// Parse result of a bundle's source text.
struct bundle_reading
{
    bundle value; ///< The bundle, entries sorted by name; valid only if there are no mistakes.
    std::vector<source_mistake> mistakes; ///< All mistakes, in line order.
};

/// Largest accepted source text, in bytes.
inline constexpr std::size_t max_bundle_text = std::size_t{8} << 20U;

/// Parses a bundle's source text and reports all mistakes at once, including those of `check_bundle`.
[[nodiscard]] auto read_bundle_source(std::string_view text) -> bundle_reading;

/// Parses a bundle's source text; the error lists every mistake on its own line.
[[nodiscard]] auto parse_bundle_source(std::string_view text) -> result<bundle>;

/// Returns the bundle with the entries of each kind sorted by name, the canonical order.
[[nodiscard]] auto sorted(bundle value) -> bundle;

} // namespace dragonflymill
