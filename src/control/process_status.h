#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// One upstream as a process sees it.
struct upstream_status
{
    upstream_id id;               ///< Its name.
    std::string state;            ///< alive, suspect, leaving, dead, cold or drained.
    std::int64_t outstanding = 0; ///< Work it has from this process, or in all for its own sidecar.
    std::int64_t allowed = 0;     ///< Work it may have.

    friend auto operator==(const upstream_status&, const upstream_status&) -> bool = default;
};

/// What a process says of itself to operators.
struct process_status
{
    process_id process;                     ///< Its name.
    std::string role;                       ///< gateway or sidecar.
    std::string version;                    ///< Version of the program.
    bool ready = false;                     ///< Whether it takes work.
    std::string reason;                     ///< Why not, if not.
    std::uint64_t bundle = 0;               ///< Version of the bundle in force; 0 for none.
    std::string bundle_digest;              ///< Its digest.
    std::string last_rejection;             ///< Why the last rejected bundle was rejected; empty if none was.
    std::uint64_t in_flight = 0;            ///< Requests in flight.
    std::vector<upstream_status> upstreams; ///< The upstreams it knows, by name.

    friend auto operator==(const process_status&, const process_status&) -> bool = default;
};

/// The status as JSON, as the admin address answers.
[[nodiscard]] auto to_json(const process_status& status) -> std::string;

/// Reads what `to_json` wrote.
[[nodiscard]] auto parse_process_status(std::string_view text) -> result<process_status>;

/// The status for people, a line for the process and one for each upstream.
[[nodiscard]] auto to_text(const process_status& status) -> std::string;

} // namespace dragonflymill
