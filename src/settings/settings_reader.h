#pragma once

#include "settings/settings_mistake.h"
#include "settings/settings_schema.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Reads `text` into the fields that `schema` is bound to. Returns every mistake in line order, or an empty
/// vector if there is none; after a mistake the fields must not be used. `file` is the file name shown in
/// mistakes.
[[nodiscard]] auto read_settings(std::string_view text, const std::string& file,
                                 const settings_schema& schema) -> std::vector<settings_mistake>;

/// Reads the settings from a file, as `read_settings` does. A file that can't be opened or is larger than 1
/// MiB is reported as a mistake.
[[nodiscard]] auto read_settings_file(const std::string& file, const settings_schema& schema)
    -> std::vector<settings_mistake>;

} // namespace dragonflymill
