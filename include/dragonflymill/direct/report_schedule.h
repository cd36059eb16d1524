#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/upstream_speeds.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// An upstream that may be asked for its state.
struct reportable_upstream
{
    std::string id;       ///< Upstream.
    upstream_run run = 0; ///< Its run.

    friend auto operator==(const reportable_upstream&, const reportable_upstream&) -> bool = default;
};

/// Decides which upstreams this gateway asks for their state, and when.
///
/// The gateways of a cell divide the upstreams of their part among them, so that each is asked by one gateway
/// and the others learn of its slowness from that gateway's digests. Each gateway also asks an upstream that
/// it doubts itself, as a digest may come too late for its own calls. Without known peers it asks all.
class report_schedule
{
public:
    /// `self` is this gateway's name; `interval` the time between two requests to an upstream.
    report_schedule(std::string self, duration interval);

    /// Sets the names of the other gateways of the cell that are reachable.
    void set_peers(std::vector<std::string> peers);
    /// Returns the upstreams to ask now, those in doubt first, at most `max_in_flight` less the requests in
    /// flight. Counts them as asked.
    [[nodiscard]] auto due(std::span<const reportable_upstream> upstreams, const upstream_speeds& speeds,
                           instant now) -> std::vector<std::string>;
    /// Records the end of a request, with or without an answer.
    void finished(const std::string& upstream);

    /// Maximum number of requests in flight. An upstream that doesn't answer must not stop the others.
    static constexpr std::size_t max_in_flight = 16;
    /// Time after which an upstream in doubt is asked again.
    static constexpr duration doubt_interval = 250ms;
};

} // namespace dragonflymill::direct
