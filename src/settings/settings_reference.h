#pragma once

#include "settings/settings_schema.h"

#include <string>

namespace dragonflymill {

/// A settings file with every key: required ones to be filled in, the others commented out at their default.
[[nodiscard]] auto settings_template(const settings_schema& schema) -> std::string;

/// The keys as rows of a Markdown table, a table for each section.
[[nodiscard]] auto settings_tables(const settings_schema& schema) -> std::string;

} // namespace dragonflymill
