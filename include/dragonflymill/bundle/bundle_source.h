#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/bundle/ini_document.h"
#include "dragonflymill/core/error.h"

#include <string_view>
#include <vector>

namespace dragonflymill {

/// What a bundle's source text says, and every mistake in it.
struct bundle_reading
{
    bundle value; ///< The bundle, entries sorted by name; of use only without mistakes.
    std::vector<source_mistake> mistakes; ///< In the order of the lines.
};

/// Largest source text taken, in bytes.
inline constexpr std::size_t max_bundle_text = std::size_t{8} << 20U;

/// Reads a bundle's source text and reports all its mistakes at once, those of cross checks too.
[[nodiscard]] auto read_bundle_source(std::string_view text) -> bundle_reading;

/// Reads a bundle's source text; the error lists every mistake, a line each.
[[nodiscard]] auto parse_bundle_source(std::string_view text) -> result<bundle>;

/// The bundle with the entries of each kind sorted by name: the order of the canonical form.
[[nodiscard]] auto sorted(bundle value) -> bundle;

} // namespace dragonflymill
