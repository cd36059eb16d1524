#pragma once

#include "dragonflymill/quarantine/crash_evidence.h"

#include <string_view>

namespace dragonflymill::edge {

/// Parses the parts of a prompt, stated as ID:TOKENS entries separated by commas. Ids are compared without
/// regard to case and within a service. Entries without an id and repetitions are left out, and those after
/// `crash_evidence::max_parts`; the last entry of the prompt is kept, as the call's own part.
[[nodiscard]] auto parse_prompt_parts(std::string_view text, std::string_view service) -> prompt_parts;

} // namespace dragonflymill::edge
