#pragma once

#include "control/control_core.h"
#include "control/control_snapshot.h"
#include "control/peer_service.h"
#include "dragonflymill/limit/account_limiter.h"
#include "dragonflymill/limit/share_lease.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// Settings of the control plane.
struct control_plane_options
{
    control_core_options core;               ///< This process; `open` sets its addresses.
    std::string udp_listen = "127.0.0.1:0";  ///< IP and UDP port for gossip.
    std::string peer_listen = "127.0.0.1:0"; ///< IP and TCP port for peers' gRPC calls.
    std::string advertise_ip;                ///< IP announced to peers; empty for the IP of `udp_listen`.
    std::optional<boost::asio::ip::tcp::endpoint>
        configuration_service; ///< The platform's configuration service, if any.
    std::optional<boost::asio::ip::tcp::endpoint> host_list; ///< The platform's host list, if any.
    std::uint16_t gossip_port = 0;    ///< Gossip port of listed hosts; 0 if not uniform.
    duration tick = 100ms;            ///< Timer resolution.
    duration watch_wait = 10s;        ///< Long-poll timeout of a watch.
    duration host_list_interval = 5s; ///< Interval between reads of the host list.
    duration fetch_deadline = 2s;     ///< Timeout of one call to a peer.
    double drop_received = 0;         ///< Share of received datagrams to drop, 0 to 1; for measurements only.
};

/// Callbacks to the daemon; called on the control thread unless stated otherwise.
struct control_plane_handlers
{
    std::function<void(std::shared_ptr<const control_snapshot>)> on_snapshot; ///< The state changed.
    std::function<void()> on_superseded; ///< A newer incarnation of this process exists; stop.
    std::function<void(instant)>
        on_bundle_confirmed; ///< A peer queried at that time has no newer bundle; may be empty.
    std::function<std::vector<share_grant>(const std::vector<share_request>&)>
        on_shares_asked; ///< Called on gRPC threads; empty at sidecars.
};

/// Traffic of the control plane so far, in bytes on the wire without frame overhead below IP.
struct control_traffic
{
    std::uint64_t datagrams_sent = 0;     ///< Datagrams sent.
    std::uint64_t bytes_sent = 0;         ///< Bytes sent, with UDP and IP headers.
    std::uint64_t datagrams_received = 0; ///< Datagrams received.
    std::uint64_t bytes_received = 0;     ///< Bytes received, with UDP and IP headers.
    std::uint64_t fetched_bytes = 0; ///< Bytes of manifests and sections fetched from peers and the service.
    std::uint64_t service_reads = 0; ///< Calls to the configuration service.
};

/// Runs the replicated state of the fleet: membership gossip, bundles and drains, without a shared store. One
/// thread with one Asio context owns all of it; gRPC threads post requests to it.
class control_plane
{
public:
    /// Opens the sockets; idle until `start`.
    [[nodiscard]] static auto open(control_plane_options options, control_plane_handlers handlers)
        -> result<std::unique_ptr<control_plane>>;

    ~control_plane();
    control_plane(const control_plane&) = delete;
    auto operator=(const control_plane&) -> control_plane& = delete;

    /// Starts the thread.
    void start();
    /// Announces to peers that this process is leaving; it keeps replying until `stop`.
    void leave();
    /// Ends the thread and closes the sockets.
    void stop();
    /// Adopts a signed bundle like an operator's push; calls `done` on the control thread.
    void push(pushed_bundle bundle, peer_answer done);
    /// Drains a subject (`out`) or returns it to service, like an operator's drain request.
    void drain(drain_subject subject, bool out);
    /// Requests shares from the owner of an account. Calls `done` on a gRPC thread, on the control thread if
    /// the owner is unknown, or directly if this process is the owner; without grants if the owner is unknown
    /// or did not reply.
    void request_shares(ask_shares asked, share_answer done);

    /// This process with the addresses it is bound to, as announced to peers.
    [[nodiscard]] auto self() const -> const member_info&;
    /// Traffic so far.
    [[nodiscard]] auto traffic() const -> control_traffic;

private:
    class implementation;
    explicit control_plane(std::unique_ptr<implementation> inner);
    std::unique_ptr<implementation> inner_;
};

} // namespace dragonflymill::control
