#pragma once

#include "control/control_core.h"
#include "control/control_plane.h"
#include "control/gossip_socket.h"
#include "control/peer_client.h"
#include "control/peer_service.h"
#include "control/platform_reader.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/stable_hash.h"
#include "runtime/clock.h"
#include "runtime/io_thread.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace dragonflymill::control {

/// Runs on the control thread and performs the actions of `control_core`.
class control_loop
{
public:
    /// Runs on `context`; idle until `start`.
    control_loop(boost::asio::io_context& context, const control_plane_options& options,
                 const control_plane_handlers& handlers, control_core core, datagram_seal seal,
                 std::unique_ptr<gossip_socket> socket, peer_service& service);

    /// Starts receiving datagrams, the tick timer and reads of the platform.
    void start();
    /// Announces to peers that this process is leaving.
    void leave();
    /// Verifies and adopts an operator's bundle.
    void push(const pushed_bundle& bundle, const peer_answer& done);
    /// Applies a drain requested at this process.
    void drain(const drain_subject& subject, bool out);
    /// Verifies the seal of an operator's drain request and applies it.
    void drain(const sealed_drain& word, const peer_answer& done);
    /// Requests shares from the owner of an account.
    void ask(const ask_shares& asked, const share_answer& done);
    /// Traffic so far; may be called on any thread.
    [[nodiscard]] auto traffic() const -> control_traffic;

private:
    void tick();
    void carry_out(const control_outputs& outputs);
    void send(const send_bytes& sent);
    void fetch(const fetch_peer_manifest& wanted);
    void fetch(const fetch_peer_sections& wanted);
    void fetch(const fetch_service_sections& wanted);
    void received(std::string_view bytes, const std::string& from);
    void publish();
    void serve_peers();
    void look_at_service();
    void on_service(const config_value& read);
    void look_at_hosts();
    void add_seeds(const std::vector<listed_host>& hosts);

    boost::asio::io_context& context_;
    const control_plane_options& options_;
    const control_plane_handlers& handlers_;
    control_core core_;
    datagram_seal seal_;
    std::unique_ptr<gossip_socket> socket_;
    peer_service& service_;
    peer_client peers_;
    platform_reader platform_;
    boost::asio::steady_timer timer_;
    random_source random_;
    std::optional<bundle_notice> served_;
    std::optional<instant> bundle_confirmed_;
    std::uint64_t revision_ = 0;
    std::uint64_t last_drain_ms_ = 0;
    bool watching_ = false;
    bool service_failing_ = false;
    instant next_watch_{};
    instant next_hosts_{};
    bool reading_hosts_ = false;
    std::atomic<std::uint64_t> datagrams_sent_{0};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> datagrams_received_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> fetched_bytes_{0};
    std::atomic<std::uint64_t> service_reads_{0};
};

} // namespace dragonflymill::control
