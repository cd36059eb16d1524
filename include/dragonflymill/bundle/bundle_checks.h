#pragma once

#include "dragonflymill/bundle/bundle.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// A rule that a bundle breaks although each of its values is readable alone.
struct bundle_fault
{
    std::string section; ///< Kind and name of the entry, such as `route booking`.
    std::string key;     ///< The key of it.
    std::string problem; ///< What is wrong.
    std::string remedy;  ///< What to do.

    friend auto operator==(const bundle_fault&, const bundle_fault&) -> bool = default;
};

/// Every rule that the bundle breaks: names used twice or unknown, limits that don't add up, accounts of
/// neither partner. An empty list means that it can be put in force.
[[nodiscard]] auto check_bundle(const bundle& value) -> std::vector<bundle_fault>;

} // namespace dragonflymill
