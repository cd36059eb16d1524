#pragma once

#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/upstream_list.h"

#include <functional>
#include <string>

namespace dragonflymill::edge {

/// Where published records come from first hand. The adapter of a deployment provides it.
class record_source
{
public:
    /// What a source tells.
    struct handlers
    {
        std::function<void(const direct::records_update&)> on_records; ///< Records came.
        std::function<void(const std::string& why)> on_lost;           ///< It can't be reached or used.
        std::function<void()> on_regained;                             ///< It answers again.
        std::function<std::uint64_t()> known_revision;                 ///< From where it is to go on.
        std::function<bool()> wanted; ///< Whether to read now, or to rest since others read.
    };

    record_source() = default;
    virtual ~record_source() = default;
    record_source(const record_source&) = delete;
    auto operator=(const record_source&) -> record_source& = delete;

    /// Begins to read and goes on until `stop`.
    virtual void start(handlers told) = 0;
    /// Ends all that is under way.
    virtual void stop() = 0;
    /// What a record says.
    [[nodiscard]] virtual auto decode(const direct::fleet_record& record) const -> direct::decoded_record = 0;
};

} // namespace dragonflymill::edge
