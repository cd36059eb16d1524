#pragma once

#include "dragonflymill/bundle/bundle.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// A violated consistency rule of a bundle whose single values all parse.
struct bundle_fault
{
    std::string section; ///< Kind and name of the entry, such as `route booking`.
    std::string key;     ///< Key within the entry; empty for the entry as a whole.
    std::string problem; ///< Description of the violation.
    std::string remedy;  ///< How to correct it.

    friend auto operator==(const bundle_fault&, const bundle_fault&) -> bool = default;
};

/// Returns every violated rule: duplicate or unknown names, inconsistent limits, accounts of unknown
/// partners. An empty list means that the bundle may be adopted.
[[nodiscard]] auto check_bundle(const bundle& value) -> std::vector<bundle_fault>;

} // namespace dragonflymill
