#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <optional>

namespace dragonflymill {

/// Settings of an own_lease.
struct own_lease_options
{
    incarnation self;           ///< Incarnation of this sidecar.
    duration term = 3s;         ///< Validity of a confirmation by the own address.
    duration predecessor = 4s;  ///< Wait of a new start: `term` plus a margin for clock rate differences.
    duration bundle_term = 11s; ///< Validity of a peer's confirmation of the bundle.
};

/// Lease of a sidecar on acting for its upstream, without an external store. The sidecar calls its own
/// configured address, and the answer carries the incarnation that holds the address. Once a successor has
/// bound the address, the predecessor gets no more confirmations and its lease expires. The successor waits
/// for that time before it acts.
///
/// Guarded failure: a paused sidecar resumes while its successor is running, and both send orders to the
/// engine or run the same call. Only the local clock is used, counted from before the confirming call was
/// sent. Limitation: it doesn't stop a process that is paused between the check of its lease and the write
/// that follows (see docs/design/leases.md).
class own_lease
{
public:
    /// Creates a lease that is not valid yet.
    own_lease(instant now, own_lease_options options);

    /// Records that incarnation `holder` answered the call sent to the own address at `asked`.
    void confirmed(instant asked, incarnation holder);
    /// Records that a peer queried at `asked` has no newer bundle version in force.
    void bundle_confirmed(instant asked);

    /// Returns the time until which this sidecar may act; a time in the past if it may not.
    [[nodiscard]] auto until() const -> instant;
    /// Returns whether the sidecar may act now: the predecessor's lease has expired and both confirmations
    /// are valid.
    [[nodiscard]] auto live(instant now) const -> bool;
    /// Returns whether another incarnation has answered at the own address, which ends this lease for good.
    [[nodiscard]] auto superseded() const -> bool { return superseded_; }

private:
    own_lease_options options_;
    instant valid_from_;
    std::optional<instant> address_confirmed_;
    std::optional<instant> bundle_confirmed_;
    bool superseded_ = false;
};

} // namespace dragonflymill
