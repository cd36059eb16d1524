#pragma once

#include "settings/settings_schema.h"

#include <string>

namespace dragonflymill {

/// Returns a settings file with every key: required keys without a value, optional keys commented out with
/// their default.
[[nodiscard]] auto settings_template(const settings_schema& schema) -> std::string;

/// Returns the keys as Markdown tables, one per section.
[[nodiscard]] auto settings_tables(const settings_schema& schema) -> std::string;

} // namespace dragonflymill
