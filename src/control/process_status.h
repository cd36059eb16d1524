#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Status of one upstream as observed by a process.
struct upstream_status
{
    upstream_id id;               ///< Its name.
    std::string state;            ///< alive, suspect, leaving, dead, cold or drained.
    std::int64_t outstanding = 0; ///< Work in flight from this process; at its own sidecar, from all.
    std::int64_t allowed = 0;     ///< Limit of outstanding work.

    friend auto operator==(const upstream_status&, const upstream_status&) -> bool = default;
};

/// Status of a process for operators.
struct process_status
{
    process_id process;                     ///< Its name.
    std::string role;                       ///< gateway or sidecar.
    std::string version;                    ///< Version of the program.
    bool ready = false;                     ///< Whether it accepts work.
    std::string reason;                     ///< Reason if not ready.
    std::uint64_t bundle = 0;               ///< Version of the bundle in force; 0 for none.
    std::string bundle_digest;              ///< Its digest.
    std::string last_rejection;             ///< Why the last rejected bundle was rejected; empty if none was.
    std::uint64_t in_flight = 0;            ///< Requests in flight.
    std::vector<upstream_status> upstreams; ///< Known upstreams, sorted by name.

    friend auto operator==(const process_status&, const process_status&) -> bool = default;
};

/// Formats the status as JSON, as returned by the admin address.
[[nodiscard]] auto to_json(const process_status& status) -> std::string;

/// Parses the output of `to_json`; returns `corrupt` for anything else.
[[nodiscard]] auto parse_process_status(std::string_view text) -> result<process_status>;

/// Formats the status for people: one line for the process and one per upstream.
[[nodiscard]] auto to_text(const process_status& status) -> std::string;

} // namespace dragonflymill
