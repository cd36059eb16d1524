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
    upstream_id upstream;      ///< The upstream that the sidecar stands beside.
    incarnation self;          ///< This start of the sidecar.
    duration predecessor = 5s; ///< Time for which a predecessor may still act.
};

/// Keeps a sidecar's lease on itself: calls the own address again and again, and takes peers' word on the
/// bundle. A process that knows no peer needs no word of one, since nobody could have a newer bundle; as soon
/// as it knows one it does.
///
/// Guarded failure: an old sidecar, paused and awake again beside its successor, runs keyed calls and gives
/// orders that the successor gives too. The pause is not what ends its lease: it also ends when the address
/// has gone to another while this process ran all the time.
class own_lease_renewer
{
public:
    /// No lease before listening().
    explicit own_lease_renewer(own_lease_renewer_options options);

    /// The own address is bound.
    void listening(instant now);
    /// Where gateways call this sidecar.
    void address_changed(std::string address) { address_ = std::move(address); }
    /// Whether there are peers.
    void peers_changed(bool any) { peers_ = any; }
    /// A peer asked then has no newer bundle.
    void bundle_confirmed(instant asked);
    /// A sidecar answered at the own address.
    void answered(const sidecar_input::sidecar_answered& answer);
    /// Asks again if it is time.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Until when this sidecar may act; a moment in the past when it may not.
    [[nodiscard]] auto until(instant now) -> instant;
    /// Whether another start of this sidecar answered at the own address.
    [[nodiscard]] auto superseded() const -> bool { return lease_ && lease_->superseded(); }

private:
    own_lease_renewer_options options_;
    std::optional<own_lease> lease_;
    std::string address_;
    instant next_ask_;
    bool peers_ = false;
};

} // namespace dragonflymill
