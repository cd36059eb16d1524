#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/peer_message.h"
#include "dragonflymill/direct/peer_table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// Digests that a relay has gathered.
struct relay_batch
{
    std::vector<peer_message> for_subscribers; ///< All of them.
    std::vector<peer_message> for_relays;      ///< Those that came from their origin.

    friend auto operator==(const relay_batch&, const relay_batch&) -> bool = default;
};

/// Decides how digests travel: in a small fleet from each gateway to each other one, in a large one through a
/// relay in each failure domain, which forwards them in batches.
///
/// Load that it answers: in a full mesh each gateway receives a datagram for each change at any other one,
/// which a small host has no processor for from some dozens on, and nearly all of them cross a failure
/// domain. Through relays the batches that a gateway receives are bounded by their interval, whatever the
/// size of the fleet, and a change crosses to each other failure domain once.
///
/// A relay is a gateway like any other: it is the one with most processor of its domain, and relays as long
/// as others subscribe to it. A subscriber that hears nothing from its relay takes the next one, and sends to
/// all until that one is heard: when most gateways are killed at once, the relays are among them.
class gossip_relay
{
public:
    /// This gateway's name, address, failure domain, and processor in thousandths of a core.
    explicit gossip_relay(peer_digest self)
        : self_(std::move(self))
    {
    }

    /// Decides anew; true if this gateway has to subscribe to another relay than before.
    auto update(const peer_table& peers, instant now) -> bool;
    /// Whether its digests go to all gateways: in a small fleet, and while it hears no relay.
    [[nodiscard]] auto sends_to_all() const -> bool { return sends_to_all_; }
    /// Address of the relay that it subscribes to; nothing if there is none, or it is its own relay.
    [[nodiscard]] auto relay() const -> const std::optional<std::string>& { return relay_; }
    /// Whether it forwards digests.
    [[nodiscard]] auto is_relay() const -> bool { return is_best_ || !subscribers_.empty(); }

    /// A datagram came: notes subscriptions and what its relay sent, and gathers what is to be forwarded.
    void take(const peer_datagram& datagram, instant now);
    /// A relay's own digest, to be forwarded like those of its subscribers.
    void enqueue_own(const peer_message& message);
    /// What was gathered since the last call.
    [[nodiscard]] auto take_batch() -> relay_batch;
    /// When what was gathered has to be sent; nothing if nothing was.
    [[nodiscard]] auto flush_at() const -> std::optional<instant>;
    /// Notes that a batch was sent.
    void flushed(instant now) { flushed_at_ = now; }
    /// Whether subscribers have to hear that their relay lives.
    [[nodiscard]] auto keepalive_due(instant now) const -> bool;

    /// Addresses of those that subscribed.
    [[nodiscard]] auto subscribers() const -> std::vector<std::string>;
    /// Addresses of the gateways that relay, and of those that are to in the other failure domains.
    [[nodiscard]] auto other_relays(const peer_table& peers, instant now) const -> std::vector<std::string>;

    /// Up to so many gateways send to each other directly: as many datagrams then cost a small host about as
    /// much processor as its callers.
    static constexpr int mesh_limit = 48;
    /// A fleet that shrinks goes back to direct digests at this size, so that it doesn't change to and fro.
    static constexpr int mesh_again = 32;
    /// A relay forwards what it gathered in so much time at once: newer data costs more datagrams.
    static constexpr duration flush_interval = 8ms;
    /// With more subscribers batches become rarer in proportion, so that a relay sends some 3,000 datagrams a
    /// second at most.
    static constexpr int subscribers_at_full_rate = 24;
    /// Urgent digests are forwarded within so much time.
    static constexpr duration urgent_flush_interval = 4ms;
    /// A relay sends at least this often.
    static constexpr duration keepalive_interval = 150ms;
    /// A relay that sent nothing for so long is given up: three of its keepalives are missing.
    static constexpr duration relay_silence = 500ms;
    /// A relay that was given up isn't chosen again for so long.
    static constexpr duration relay_pause = 3s;
    /// A subscription ends so long after the last digest that asked for it: two idle digests are missing.
    static constexpr duration subscription_term = 1s;

private:
    struct subscriber
    {
        std::string address;
        instant heard{};
    };

    [[nodiscard]] auto is_usable(const known_peer& peer, instant now) const -> bool;
    [[nodiscard]] auto best_relay(const peer_table& peers, instant now) const -> const peer_digest&;
    [[nodiscard]] auto choose_relay(const peer_table& peers, instant now) -> bool;
    void gather(const peer_message& message, bool from_origin, instant now);

    peer_digest self_;
    bool is_large_ = false;
    bool sends_to_all_ = true;
    bool is_best_ = false; // of its failure domain
    std::optional<std::string> relay_;
    instant relay_chosen_{};
    instant relay_heard_{};                   // its relay; as the best one itself, another relay
    std::map<std::string, instant> given_up_; // by address, until when
    std::map<std::string, subscriber> subscribers_;
    relay_batch gathered_;
    std::optional<instant> flush_at_;
    instant flushed_at_{};
};

} // namespace dragonflymill::direct
