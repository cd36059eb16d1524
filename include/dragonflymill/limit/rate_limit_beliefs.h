#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace dragonflymill {

/// Identifies one run of an upstream process. A restart under the same id is another run, as it has lost all
/// earlier state.
using upstream_run = std::uint64_t;

/// What a response says about the rate of calls that its upstream accepts.
struct rate_statement
{
    bool readable = true;              ///< Whether it could be decoded; otherwise it says nothing.
    std::optional<double> calls_per_s; ///< For all gateways together; nothing: the upstream states no limit.

    friend auto operator==(const rate_statement&, const rate_statement&) -> bool = default;
};

/// What a gateway believes about the rate limit of one upstream.
struct rate_limit_belief
{
    std::optional<double> calls_per_s; ///< For all gateways together; nothing: an earlier limit has ended.
    instant stated_at{};               ///< When a gateway received the response that stated it.
    bool first_hand = false;           ///< Whether that response came to this gateway.

    friend auto operator==(const rate_limit_belief&, const rate_limit_belief&) -> bool = default;
};

/// Beliefs of one gateway about the rate limits that upstreams state in their responses.
///
/// A limit holds until a later response states another one or none; it doesn't expire, because a limit below
/// one call per second may go without a response for longer than any fixed time.
class rate_limit_beliefs
{
public:
    /// Records what a response says; `sent_at` is when its request was sent. Returns whether the limit
    /// changed. A response without a limit ends one only if its request was sent after the limit was stated:
    /// responses may overtake each other.
    auto record(upstream_run upstream, const rate_statement& statement, instant sent_at, instant now) -> bool;
    /// Applies the belief of another gateway; returns whether the limit changed. The newest response wins. A
    /// belief that is second-hand at that gateway only fills a gap: with each hop it would appear newer by
    /// the time of the transfer.
    auto apply(upstream_run upstream, const rate_limit_belief& other) -> bool;
    /// Removes the beliefs about runs that are neither in `known` nor were stated recently.
    void retain(const std::set<upstream_run>& known, instant now);

    /// Returns the belief about an upstream that is limited; null if it has no limit.
    [[nodiscard]] auto find(upstream_run upstream) const -> const rate_limit_belief*;
    /// Number of upstreams with a limit.
    [[nodiscard]] auto limited() const -> std::size_t;
    /// All beliefs, those in ended limits included.
    [[nodiscard]] auto all() const -> const std::unordered_map<upstream_run, rate_limit_belief>&
    {
        return beliefs_;
    }

    /// Time for which a belief is kept although its limit has ended or its upstream isn't known: a peer may
    /// report a limit before the upstream's entry is read, and the end of one after its last use.
    static constexpr duration retention = 30s;

private:
    std::unordered_map<upstream_run, rate_limit_belief> beliefs_;
};

} // namespace dragonflymill
