#pragma once

#include "dragonflymill/bundle/bundle.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// Kind of difference between two bundles.
enum class change_kind
{
    added,   ///< Only in the new one.
    removed, ///< Only in the old one.
    changed, ///< In both, with different values.
};

/// One difference between two bundles.
struct bundle_change
{
    change_kind kind = change_kind::changed; ///< Added, removed or changed.
    std::string section;                     ///< Kind and name of the entry, such as `account doorstep`.
    std::string key;                         ///< The key; empty if the whole entry was added or removed.
    std::string before;                      ///< Value in the old bundle.
    std::string after;                       ///< Value in the new bundle.

    friend auto operator==(const bundle_change&, const bundle_change&) -> bool = default;
};

/// Returns every difference: changed and removed entries first, then added ones, each sorted by section and
/// key.
[[nodiscard]] auto diff_bundles(const bundle& before, const bundle& after) -> std::vector<bundle_change>;

/// Formats the differences as text, one line each: `~ account doorstep: requests 50/s -> 80/s`.
[[nodiscard]] auto to_text(const std::vector<bundle_change>& changes) -> std::string;

} // namespace dragonflymill
