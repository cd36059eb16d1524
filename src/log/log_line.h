#pragma once

#include "dragonflymill/core/time.h"
#include "log/logger.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// One logged event, as it waits for the writing thread.
struct log_record
{
    event id;                      ///< The event.
    wall_instant at;               ///< When it was logged.
    std::vector<log_field> fields; ///< Its values.
};

/// The line of a record, without a line feed.
[[nodiscard]] auto log_line(const log_record& record, const std::string& process, log_format format)
    -> std::string;

} // namespace dragonflymill
