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

/// Settings of the deciding half of the control plane.
struct control_core_options
{
    membership_settings membership;     ///< This process and its gossip.
    bundle_manager_settings bundle;     ///< Trusted partners, floor, start.
    std::vector<std::string> seal_keys; ///< Keys of the datagrams' seal.
    std::uint32_t watchers = 3;         ///< Processes that watch the configuration service at a time.
    duration watch_slot = 60s;          ///< Watchers are chosen anew after it.
};

/// Send these bytes to a gossip address.
struct send_bytes
{
    std::string address; ///< IP and UDP port.
    std::string bytes;   ///< A sealed datagram.
};

/// Ask a peer for its signed manifest.
struct fetch_peer_manifest
{
    process_id peer;     ///< Whom.
    std::string address; ///< Where: IP and TCP port.
};

/// Ask a peer for sections.
struct fetch_peer_sections
{
    process_id peer;                    ///< Whom.
    std::string address;                ///< Where: IP and TCP port.
    std::vector<sha256_digest> digests; ///< Which.
};

/// Read sections from the configuration service.
struct fetch_service_sections
{
    std::vector<sha256_digest> digests; ///< Which.
};

/// A later start of this process is there: stop at once.
struct stop_process
{
};

/// What the shell is to do.
using control_output =
    std::variant<send_bytes, fetch_peer_manifest, fetch_peer_sections, fetch_service_sections, stop_process>;
/// In the order in which they are to be done.
using control_outputs = std::vector<control_output>;

/// Puts bundle keeper, membership and drain state together; everything but sockets and clocks.
class control_core
{
public:
    /// A process that starts at `now`; `seed` is for its random choices.
    [[nodiscard]] static auto create(control_core_options options, std::uint64_t seed, instant now)
        -> result<control_core>;

    /// A datagram arrived.
    [[nodiscard]] auto datagram_arrived(instant now, std::string_view bytes, const std::string& from)
        -> control_outputs;
    /// Time passes; called about ten times a second.
    [[nodiscard]] auto tick(instant now, wall_instant wall) -> control_outputs;
    /// A signed manifest arrived.
    [[nodiscard]] auto manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
        -> control_outputs;
    /// A section arrived.
    [[nodiscard]] auto section_arrived(instant now, const std::string& text) -> control_outputs;
    /// A peer did not answer a fetch.
    [[nodiscard]] auto fetch_failed(instant now, const process_id& peer) -> control_outputs;
    /// The host list was read.
    void host_list_read(instant now, const std::vector<listed_host>& hosts);
    /// More addresses to join by.
    void add_seeds(const std::vector<std::string>& addresses) { membership_.add_seeds(addresses); }
    /// An operator takes something out of service, or back.
    [[nodiscard]] auto operator_drain(instant now, const drain_subject& subject, bool out) -> control_outputs;
    /// This process begins to stop.
    [[nodiscard]] auto leave() -> control_outputs;

    /// Whether this process is one of those that watch the configuration service now.
    [[nodiscard]] auto watches(instant now, wall_instant wall) const -> bool;
    /// Whether it starts and has nobody to ask: it reads the service once in a while, without adopting yet.
    [[nodiscard]] auto nobody_to_ask() const -> bool;
    /// What the rest of the daemon needs to know; null if nothing changed since the last call.
    [[nodiscard]] auto take_snapshot(instant now) -> std::shared_ptr<const control_snapshot>;
    /// The bundle in force, to hand to peers.
    [[nodiscard]] auto keeper() const -> const bundle_manager& { return keeper_; }
    /// Who is there.
    [[nodiscard]] auto members() const -> const membership& { return membership_; }
    /// What is drained.
    [[nodiscard]] auto drains() const -> const drain_state& { return drains_; }
    /// Datagrams refused because of their seal or content.
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
