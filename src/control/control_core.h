#pragma once

#include "control/control_snapshot.h"
#include "dragonflymill/bundle/bundle_manager.h"
#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/membership/datagram_seal.h"
#include "dragonflymill/membership/membership.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflymill::control {

/// Settings of `control_core`.
struct control_core_options
{
    membership_settings membership;     ///< This process and its gossip.
    bundle_manager_settings bundle;     ///< Trusted partners, minimum version and start-up behaviour.
    std::vector<std::string> seal_keys; ///< Keys for sealing datagrams.
    std::uint32_t watchers = 3;         ///< Processes that watch the configuration service concurrently.
    duration watch_slot = 60s;          ///< Interval after which the watchers are re-elected.
};

/// Sends bytes to a gossip address.
struct send_bytes
{
    std::string address; ///< IP and UDP port.
    std::string bytes;   ///< A sealed datagram.
};

/// Fetches a peer's signed manifest.
struct fetch_peer_manifest
{
    process_id peer;     ///< The peer.
    std::string address; ///< Its IP and TCP port.
};

/// Fetches sections from a peer.
struct fetch_peer_sections
{
    process_id peer;                    ///< The peer.
    std::string address;                ///< Its IP and TCP port.
    std::vector<sha256_digest> digests; ///< Digests of the sections.
};

/// Fetches sections from the configuration service.
struct fetch_service_sections
{
    std::vector<sha256_digest> digests; ///< Digests of the sections.
};

/// A newer incarnation of this process exists; stops this one immediately.
struct stop_process
{
};

/// An action for `control_loop` to perform.
using control_output =
    std::variant<send_bytes, fetch_peer_manifest, fetch_peer_sections, fetch_service_sections, stop_process>;
/// Actions, in order.
using control_outputs = std::vector<control_output>;

/// Combines bundle manager, membership and drain state; independent of sockets and clocks.
class control_core
{
public:
    /// Creates the core of a process that starts at `now`; `seed` initializes its random source. Returns an
    /// error for unusable seal keys, or names or addresses that don't fit into a datagram.
    [[nodiscard]] static auto create(control_core_options options, std::uint64_t seed, instant now)
        -> result<control_core>;

    /// Handles a datagram.
    [[nodiscard]] auto datagram_arrived(instant now, std::string_view bytes, const std::string& from)
        -> control_outputs;
    /// Advances timers; called about ten times per second.
    [[nodiscard]] auto tick(instant now, wall_instant wall) -> control_outputs;
    /// Handles a signed manifest.
    [[nodiscard]] auto manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
        -> control_outputs;
    /// Handles a section.
    [[nodiscard]] auto section_arrived(instant now, const std::string& text) -> control_outputs;
    /// Handles a fetch that a peer did not answer.
    [[nodiscard]] auto fetch_failed(instant now, const process_id& peer) -> control_outputs;
    /// Applies a newly read host list.
    void host_list_read(instant now, const std::vector<listed_host>& hosts);
    /// Adds addresses for joining the fleet.
    void add_seeds(const std::vector<std::string>& addresses) { membership_.add_seeds(addresses); }
    /// Handles an operator's request to drain a subject or return it to service.
    [[nodiscard]] auto operator_drain(instant now, const drain_subject& subject, bool out) -> control_outputs;
    /// Announces that this process is leaving.
    [[nodiscard]] auto leave() -> control_outputs;

    /// Whether this process is currently one of the watchers of the configuration service.
    [[nodiscard]] auto watches(instant now, wall_instant wall) const -> bool;
    /// Whether no bundle is in force and no peer is alive. The process then polls the configuration service,
    /// without adopting yet.
    [[nodiscard]] auto nobody_to_ask() const -> bool;
    /// Snapshot for the rest of the daemon; null if nothing changed since the last call.
    [[nodiscard]] auto take_snapshot(instant now) -> std::shared_ptr<const control_snapshot>;
    /// The bundle manager; holds the bundle to serve to peers.
    [[nodiscard]] auto keeper() const -> const bundle_manager& { return keeper_; }
    /// The membership.
    [[nodiscard]] auto members() const -> const membership& { return membership_; }
    /// The drain state.
    [[nodiscard]] auto drains() const -> const drain_state& { return drains_; }
    /// Number of datagrams rejected for an invalid seal or content.
    [[nodiscard]] auto refused_datagrams() const -> std::uint64_t { return refused_datagrams_; }

private:
    control_core(control_core_options options, datagram_seal seal, std::uint64_t seed, instant now);

    void act(instant now, const membership_outputs& outputs, control_outputs& out);
    void act(instant now, const bundle_manager_outputs& outputs, control_outputs& out);
    void send(const send_datagram& sent, control_outputs& out);
    void note_member(instant now, const member_update& update);
    void hear_drain(instant now, const drain_notice& word, control_outputs& out);
    void adopt(instant now, const adopt_bundle& adopted, control_outputs& out);
    void fetch(const fetch_sections& wanted, control_outputs& out);
    void note_alarm(const bundle_alarm& alarm);
    void ask_at_boot(instant now, control_outputs& out);
    [[nodiscard]] auto peer_address(const process_id& peer) const -> std::string;

    control_core_options options_;
    datagram_seal seal_;
    membership membership_;
    bundle_manager keeper_;
    drain_state drains_;
    std::vector<std::string> alarms_;
    std::uint64_t refused_datagrams_ = 0;
    std::uint64_t snapshot_number_ = 0;
    bool changed_ = true;
    bool was_ready_ = false;
    bool was_isolated_ = false;
    instant next_boot_ask_;
    std::uint32_t boot_asks_ = 0;
};

} // namespace dragonflymill::control
