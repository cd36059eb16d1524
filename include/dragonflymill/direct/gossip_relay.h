#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/peer_message.h"
#include "dragonflymill/direct/peer_table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Digests queued at a relay.
struct relay_batch
{
    std::vector<peer_message> for_subscribers; ///< All queued digests.
    std::vector<peer_message> for_relays;      ///< Those received directly from their origin.

    friend auto operator==(const relay_batch&, const relay_batch&) -> bool = default;
};

/// Decides how digests are distributed: directly between all gateways in a small fleet, and through one relay
/// per failure domain, which forwards them in batches, in a large fleet.
///
/// In a full mesh each gateway receives a datagram for each change at any other gateway. From some dozens of
/// gateways on this exceeds the processor of a small host, and nearly all datagrams cross failure domains.
/// With relays the rate at which a gateway receives batches is bounded by their interval, regardless of the
/// size of the fleet, and a change is sent to each other failure domain once.
///
/// A relay is an ordinary gateway: the one with the most processor of its failure domain. It relays as long
/// as others subscribe to it. A subscriber that receives nothing from its relay selects the next one, and
/// sends its digests to all gateways until it receives from that one: when most gateways are killed at once,
/// the relays may be among them.
class gossip_relay
{
public:
    /// `self` holds this gateway's name, address, failure domain, and processor in thousandths of a core.
    explicit gossip_relay(peer_digest self)
        : self_(std::move(self))
    {
    }

    /// Selects the relay and the mode; returns true if this gateway must subscribe to a different relay.
    auto update(const peer_table& peers, instant now) -> bool;
    /// Returns whether its digests go to all gateways: in a small fleet, and while it receives from no relay.
    [[nodiscard]] auto sends_to_all() const -> bool { return sends_to_all_; }
    /// Address of the relay that it subscribes to; nothing if there is none or this gateway is the relay.
    [[nodiscard]] auto relay() const -> const std::optional<std::string>& { return relay_; }
    /// Returns whether this gateway forwards digests.
    [[nodiscard]] auto is_relay() const -> bool { return is_domain_relay_ || !subscribers_.empty(); }

    /// Handles a received datagram: records subscriptions and the relay's liveness, and queues the digests to
    /// forward.
    void take(const peer_datagram& datagram, instant now);
    /// Queues the relay's own digest, to be forwarded like those of its subscribers.
    void enqueue_own(const peer_message& message);
    /// Returns and clears the queued digests.
    [[nodiscard]] auto take_batch() -> relay_batch;
    /// Time at which the queued digests must be sent; nothing if none are queued.
    [[nodiscard]] auto flush_at() const -> std::optional<instant>;
    /// Records that a batch was sent.
    void flushed(instant now) { flushed_at_ = now; }
    /// Returns whether subscribers must receive a keepalive now.
    [[nodiscard]] auto keepalive_due(instant now) const -> bool;

    /// Addresses of the subscribers.
    [[nodiscard]] auto subscribers() const -> std::vector<std::string>;
    /// Addresses of the gateways that relay, and of the best candidate in each other failure domain.
    [[nodiscard]] auto other_relays(const peer_table& peers, instant now) const -> std::vector<std::string>;

    /// Maximum number of gateways in a full mesh. At this size, receiving datagrams costs a small host about
    /// as much processor as serving its callers.
    static constexpr int mesh_limit = 48;
    /// Size at which a shrinking fleet returns to a full mesh. Lower than `mesh_limit` as a hysteresis.
    static constexpr int mesh_restore_limit = 32;
    /// Interval of a relay's batches. A shorter one would give fresher data at the cost of more datagrams.
    static constexpr duration flush_interval = 8ms;
    /// Number of subscribers above which the interval grows in proportion, to limit a relay to about 3,000
    /// datagrams per second.
    static constexpr int subscribers_at_full_rate = 24;
    /// Interval of batches that contain urgent digests.
    static constexpr duration urgent_flush_interval = 4ms;
    /// Maximum interval between two datagrams of a relay to its subscribers.
    static constexpr duration keepalive_interval = 150ms;
    /// Time without a datagram after which a relay is considered failed: three missed keepalives.
    static constexpr duration relay_timeout = 500ms;
    /// Time for which a failed relay is not selected again.
    static constexpr duration relay_exclusion_time = 3s;
    /// Time after the last subscribing digest at which a subscription expires: two missed idle digests.
    static constexpr duration subscription_timeout = 1s;

private:
    struct subscriber
    {
        std::string address;
        instant last_received_at{};
    };

    [[nodiscard]] auto is_usable(const known_peer& peer, instant now) const -> bool;
    [[nodiscard]] auto best_relay(const peer_table& peers, instant now) const -> const peer_digest&;
    [[nodiscard]] auto choose_relay(const peer_table& peers, instant now) -> bool;
    void enqueue(const peer_message& message, bool from_origin, instant now);

    peer_digest self_;
    bool is_large_ = false;
    bool sends_to_all_ = true;
    bool is_domain_relay_ = false; // best relay of its failure domain
    std::optional<std::string> relay_;
    instant relay_selected_at_{};
    instant relay_received_at_{};                    // from its relay; from any relay if it is one
    std::map<std::string, instant> excluded_relays_; // by address, until this time
    std::map<std::string, subscriber> subscribers_;
    relay_batch pending_batch_;
    std::optional<instant> flush_at_;
    instant flushed_at_{};
};

} // namespace dragonflymill::direct
