#pragma once

#include "dragonflymill/core/time.h"
#include "log/logger.h"

#include <string>
#include <vector>

namespace dragonflymill {

/// A logged event, queued for the writer thread.
struct log_record
{
    event id;                      ///< The event logged.
    wall_instant at;               ///< Time of the log call.
    std::vector<log_field> fields; ///< Fields of the event.
};

/// Formats a record as one line, without a line feed.
[[nodiscard]] auto log_line(const log_record& record, const std::string& process, log_format format)
    -> std::string;

} // namespace dragonflymill
