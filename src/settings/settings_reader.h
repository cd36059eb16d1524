#pragma once

#include "settings/settings_mistake.h"
#include "settings/settings_schema.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Reads `text` into the fields that `schema` is bound to and names every mistake, in order of lines; empty
/// when all is right. `file` is its name in mistakes. After a mistake the fields must not be used.
[[nodiscard]] auto read_settings(std::string_view text, const std::string& file,
                                 const settings_schema& schema) -> std::vector<settings_mistake>;

/// As `read_settings`, from the file itself; at most 1 MiB of it.
[[nodiscard]] auto read_settings_file(const std::string& file, const settings_schema& schema)
    -> std::vector<settings_mistake>;

} // namespace dragonflymill
