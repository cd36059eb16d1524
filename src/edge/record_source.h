#pragma once

#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/upstream_list.h"

#include <functional>
#include <string>

namespace dragonflymill::edge {

/// Authoritative source of published records. A deployment's adapter provides it.
class record_source
{
public:
    /// Callbacks of a source.
    struct handlers
    {
        std::function<void(const direct::records_update&)> on_records; ///< Records were received.
        std::function<void(const std::string& why)> on_unavailable;    ///< A read failed; for the log.
        std::function<void()> on_recovered;                            ///< A read succeeded.
        std::function<std::uint64_t()> known_revision;                 ///< Revision from which to continue.
        std::function<bool()>
            should_read; ///< Whether to read now; false while peers read the source instead.
    };

    record_source() = default;
    virtual ~record_source() = default;
    record_source(const record_source&) = delete;
    auto operator=(const record_source&) -> record_source& = delete;

    /// Starts reading; continues until `stop`.
    virtual void start(handlers callbacks) = 0;
    /// Cancels everything in flight.
    virtual void stop() = 0;
    /// Decodes a record.
    [[nodiscard]] virtual auto decode(const direct::fleet_record& record) const -> direct::decoded_record = 0;
};

} // namespace dragonflymill::edge
