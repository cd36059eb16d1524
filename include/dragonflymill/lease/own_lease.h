#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <optional>

namespace dragonflymill {

/// Settings of an own_lease.
struct own_lease_options
{
    incarnation self;           ///< This start of the sidecar.
    duration term = 3s;         ///< How long one confirmation is good for.
    duration predecessor = 4s;  ///< Time a new start waits first: `term` and a margin for clock rates.
    duration bundle_term = 11s; ///< How long a peer's confirmation of the bundle is good for.
};

/// A sidecar's lease on acting for its upstream, without a store: it calls its own configured address, and
/// the answer carries the incarnation that holds that address now. Once a successor has bound the address,
/// the predecessor gets no confirmation any more and its lease runs out; the successor waits for that time
/// first.
///
/// Guarded failure: a paused sidecar wakes beside its successor and both give orders to the engine, or both
/// run the same call. Only time on the own clock is used, counted from before the confirming call was sent.
/// What it can't do: a process paused between the look at its lease and the write that follows (see
/// docs/design/leases.md).
class own_lease
{
public:
    /// No lease yet.
    own_lease(instant now, own_lease_options options);

    /// The call sent at `asked` to the own address was answered by `holder`.
    void confirmed(instant asked, incarnation holder);
    /// A peer that was asked at `asked` has the same bundle version in force, or none newer.
    void bundle_confirmed(instant asked);

    /// Until when this sidecar may act; a moment in the past when it may not.
    [[nodiscard]] auto until() const -> instant;
    /// Whether it may act now: the predecessor is waited out and both confirmations are fresh.
    [[nodiscard]] auto live(instant now) const -> bool;
    /// Whether another incarnation has answered at the own address: this one is over.
    [[nodiscard]] auto superseded() const -> bool { return superseded_; }

private:
    own_lease_options options_;
    instant acts_from_;
    std::optional<instant> address_asked_;
    std::optional<instant> bundle_asked_;
    bool superseded_ = false;
};

} // namespace dragonflymill
