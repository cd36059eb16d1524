#pragma once

#include "dragonflymill/lease/own_lease.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Settings of an own_lease_renewer.
struct own_lease_renewer_options
{
    upstream_id upstream;      ///< Upstream that the sidecar serves.
    incarnation self;          ///< Incarnation of this sidecar.
    duration predecessor = 5s; ///< Time during which a predecessor may still act.
};

/// Renews a sidecar's own lease: it periodically calls the sidecar's own address and collects the peers'
/// confirmations of the bundle. A process that knows no peer needs no confirmation of the bundle, since
/// nobody could have a newer one.
///
/// Guarded failure: an old sidecar resumes after a pause while its successor is running, and both run the
/// same keyed calls and send orders. The lease doesn't depend on detecting the pause: it also ends when the
/// address has moved to another process while this one kept running.
class own_lease_renewer
{
public:
    /// Creates it without a lease; the lease starts with listening().
    explicit own_lease_renewer(own_lease_renewer_options options);

    /// Handles that the own address was bound.
    void listening(instant now);
    /// Sets the address at which gateways call this sidecar.
    void address_changed(std::string address) { address_ = std::move(address); }
    /// Sets whether other processes of the fleet are known.
    void peers_changed(bool any) { has_peers_ = any; }
    /// Handles a peer's confirmation, requested at `asked`, that it has no newer bundle.
    void bundle_confirmed(instant asked);
    /// Handles the answer of the sidecar at the own address.
    void answered(const sidecar_input::sidecar_answered& answer);
    /// Queries the own address if the next renewal is due.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Returns the time until which this sidecar may act; a time in the past if it may not.
    [[nodiscard]] auto valid_until(instant now) -> instant;
    /// Returns whether another incarnation of this sidecar answered at the own address.
    [[nodiscard]] auto superseded() const -> bool { return lease_ && lease_->superseded(); }

private:
    own_lease_renewer_options options_;
    std::optional<own_lease> lease_;
    std::string address_;
    instant next_renewal_;
    bool has_peers_ = false;
};

} // namespace dragonflymill
