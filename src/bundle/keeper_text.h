#pragma once

#include "dragonflymill/bundle/signed_bundle.h"

#include <string>

namespace dragonflymill {

/// Text that identifies a bundle in messages.
[[nodiscard]] inline auto text_of_version(const bundle_notice& word) -> std::string
{
    return "version " + std::to_string(word.version.value());
}

} // namespace dragonflymill
