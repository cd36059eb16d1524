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
    control_core_options core;               ///< This process; its addresses are filled in when bound.
    std::string udp_listen = "127.0.0.1:0";  ///< IP and port of the gossip.
    std::string peer_listen = "127.0.0.1:0"; ///< IP and port where peers fetch bundles.
    std::string advertise_ip;                ///< IP that others reach this process by; empty: as listened on.
    std::optional<boost::asio::ip::tcp::endpoint> configuration_service; ///< The platform's, if there is one.
    std::optional<boost::asio::ip::tcp::endpoint> host_list;             ///< The platform's, if there is one.
    std::uint16_t gossip_port = 0;    ///< Port of the gossip at listed hosts; 0 if they differ.
    duration tick = 100ms;            ///< Time between two looks at the timers.
    duration watch_wait = 10s;        ///< Longest wait of a watch.
    duration host_list_interval = 5s; ///< Time between two reads of the host list.
    duration fetch_deadline = 2s;     ///< For one fetch from a peer.
    double drop_received = 0;         ///< Part of the datagrams dropped on receipt; for measurements only.
};

/// What the control plane tells the daemon; called on its own thread, so the daemon hands it on.
struct control_plane_handlers
{
    std::function<void(std::shared_ptr<const control_snapshot>)> on_snapshot; ///< Something changed.
    std::function<void()> on_superseded;                                      ///< Stop: a successor is there.
    std::function<void(instant)>
        on_bundle_confirmed; ///< A peer asked then has no newer bundle; may be empty.
    std::function<std::vector<share_grant>(const std::vector<share_request>&)>
        on_shares_asked; ///< Called on gRPC's threads; empty at sidecars.
};

/// Traffic of the control plane so far, in bytes on the wire without frame overhead below IP.
struct control_traffic
{
    std::uint64_t datagrams_sent = 0;     ///< Datagrams sent.
    std::uint64_t bytes_sent = 0;         ///< Bytes of them, with UDP and IP headers.
    std::uint64_t datagrams_received = 0; ///< Datagrams received.
    std::uint64_t bytes_received = 0;     ///< Bytes of them, with UDP and IP headers.
    std::uint64_t fetched_bytes = 0;      ///< Manifests and sections fetched from peers and the service.
    std::uint64_t service_reads = 0;      ///< Calls to the configuration service.
};

/// Runs the state that processes share without a store: gossip, bundles and drains. One thread with one
/// Asio context owns all of it; gRPC's threads only hand requests over.
class control_plane
{
public:
    /// Opens the sockets; nothing runs before `start`.
    [[nodiscard]] static auto open(control_plane_options options, control_plane_handlers handlers)
        -> result<std::unique_ptr<control_plane>>;

    ~control_plane();
    control_plane(const control_plane&) = delete;
    auto operator=(const control_plane&) -> control_plane& = delete;

    /// Starts the thread.
    void start();
    /// Tells the others that this process is stopping; it goes on answering until `stop`.
    void leave();
    /// Ends the thread and closes the sockets.
    void stop();
    /// Takes over a signed bundle, as an operator's push does; `done` comes on the control thread.
    void push(pushed_bundle bundle, peer_answer done);
    /// Takes something out of service, or back, as an operator's word does.
    void drain(drain_subject subject, bool out);
    /// Asks the home of an account for a share; `done` comes on gRPC's threads, with nothing if there was no
    /// answer or the home is not known.
    void request_shares(ask_shares asked, share_answer done);

    /// This process as others see it, with its real addresses.
    [[nodiscard]] auto self() const -> const member_info&;
    /// Traffic so far.
    [[nodiscard]] auto traffic() const -> control_traffic;

private:
    class implementation;
    explicit control_plane(std::unique_ptr<implementation> inner);
    std::unique_ptr<implementation> inner_;
};

} // namespace dragonflymill::control
