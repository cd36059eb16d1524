#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>

namespace dragonflymill {

/// Gateways that share limits with this one, itself included.
struct gateway_reach
{
    int reachable = 1; ///< Gateways whose reports arrive.
    int known = 1;     ///< These and the silent ones, which may be sending calls all the same.
    int rank = 0;      ///< Position of this gateway in an order that all share, from 0.

    friend auto operator==(const gateway_reach&, const gateway_reach&) -> bool = default;
};

/// Schedule of the calls of all gateways together to one upstream with a rate limit, without a coordinator.
///
/// Gateways report their calls to each other, so all of them advance the same schedule of one call per
/// interval. When it allows a call, each gateway first waits for a pseudo-random part of a window. The one
/// with the shortest wait sends, and the others receive its report before their own wait ends. Calls that are
/// sent at the same moment all the same delay the following ones. An equal share for each gateway would not
/// do: where gateways outnumber the calls, the first call of each exceeds the limit.
///
/// Gateways that can't reach each other don't see each other's calls. Each group takes the part of the limit
/// that corresponds to its size.
class shared_rate_schedule
{
public:
    /// Starts with the first call due after one interval: the calls before the limit was known are unknown.
    shared_rate_schedule(double calls_per_s, const gateway_reach& reach, instant now);

    /// Changes the limit. Calls that the schedule is ahead or behind stay so.
    void set_rate(double calls_per_s, const gateway_reach& reach, instant now);
    /// Counts calls of any gateway.
    void advance(std::uint64_t calls, const gateway_reach& reach, instant now);
    /// Returns from when on this gateway may send a call, as far as it knows. `seed` differs between gateways
    /// and upstreams.
    [[nodiscard]] auto available_at(const gateway_reach& reach, std::uint64_t seed) const -> instant;
    /// Returns the calls per second of the gateways that reach each other.
    [[nodiscard]] auto rate(const gateway_reach& reach) const -> double;

    /// Window of the wait before a call, for each gateway: so wide that, with all of them waiting, few send
    /// within the time that a report takes.
    static constexpr duration window_per_gateway = 20ms;
    /// Minimum window if there are other gateways: several times the delay of a report.
    static constexpr duration min_window = 200ms;
    /// Part of the calls of a second that gateways may send unaware of each other, but at least one call. The
    /// window is shorter for larger limits accordingly.
    static constexpr double simultaneous_share = 0.25;
    /// Time after which a due call that no gateway has sent lapses. Longer than the window of a small fleet,
    /// so that the wait costs no throughput there.
    static constexpr duration max_credit = 500ms;
    /// Maximum number of calls that the schedule is ahead; bounds the effect of a wrong count.
    static constexpr std::uint64_t max_debt_calls = 16;
    /// Minimum rate: calls find out when a limit ends, and a limit of zero would never be found to have
    /// ended.
    static constexpr double min_calls_per_s = 0.05;

private:
    double calls_per_s_;
    instant next_at_;
    std::uint64_t calls_ = 0;
};

} // namespace dragonflymill
