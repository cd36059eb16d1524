#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/gossip_relay.h"
#include "dragonflymill/direct/gossip_schedule.h"
#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/source_outage.h"
#include "dragonflymill/direct/upstream_list.h"
#include "edge/caller_session.h"
#include "edge/exchange.h"
#include "edge/gateway_metrics.h"
#include "edge/header_names.h"
#include "edge/loop_timers.h"
#include "edge/peer_link.h"
#include "edge/record_source.h"
#include "edge/status_pages.h"
#include "settings/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dragonflymill::edge {

/// Settings of a gateway that reaches upstreams directly.
struct direct_gateway_settings
{
    std::string name;                    ///< Of this host's process, in logs.
    std::string failure_domain;          ///< Where it runs.
    socket_address callers;              ///< Where callers come.
    socket_address ready;                ///< Where the balancer asks.
    socket_address peers;                ///< Where other gateways reach it.
    socket_address metrics;              ///< Where counters are served; empty for nowhere.
    std::vector<std::string> seeds;      ///< Addresses of gateways to begin with.
    direct::retry_budget_limits retries; ///< Of second attempts.
    int millicores = 0;                  ///< Processor of its host, in thousandths of a core; 0: not stated.
    duration drain_delivery_bound =
        2s;              ///< Work may reach an upstream for so long after it said that it leaves.
    duration grace = 8s; ///< From the signal to stop until the process is killed.
    /// From the signal to stop, callers are still served for so long: the balancer asks once a second and
    /// takes a gateway out after the second refusal, and the connections that it made before arrive a little
    /// later.
    duration deregistration_delay = 3s;

    friend auto operator==(const direct_gateway_settings&, const direct_gateway_settings&) -> bool = default;
};

/// How the outside systems of a deployment name and write things; its adapter provides it.
struct platform_adapter
{
    header_names names;     ///< Header fields.
    upstream_orders orders; ///< Orders to engines.
};

/// A gateway process that reaches upstreams directly: one event loop, no thread but the log's. The processor
/// of its hosts runs one thread at a time and each hand-over costs a wake-up, so a ring between threads would
/// only make each event of a stream dearer.
class direct_gateway : public request_handler
{
public:
    /// `reread` gives the settings anew; nothing if they can't be read.
    using settings_reader = std::function<std::optional<direct_gateway_settings>()>;

    direct_gateway(boost::asio::io_context& loop, direct_gateway_settings settings, platform_adapter platform,
                   record_source& source, settings_reader reread);
    ~direct_gateway() override;
    direct_gateway(const direct_gateway&) = delete;
    auto operator=(const direct_gateway&) -> direct_gateway& = delete;

    /// Opens its sockets and begins.
    [[nodiscard]] auto start() -> result<void>;

    /// Port at which callers are served; chosen by the system if the settings say 0.
    [[nodiscard]] auto caller_port() const -> std::uint16_t;

    auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<open_request> override;
    [[nodiscard]] auto limits() const -> direct::caller_limits override;
    [[nodiscard]] auto closing() const -> bool override { return stopping_; }
    void session_ended(caller_session* session) override;

private:
    [[nodiscard]] auto listen(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address,
                              request_handler& handler) -> result<void>;
    [[nodiscard]] auto open_socket(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address)
        -> result<void>;
    void accept(boost::asio::ip::tcp::acceptor& acceptor, request_handler& handler);
    void accept_callers();
    void start_source();
    void take_records(const direct::records_update& extract, const std::string& from);
    void take_record(const direct::fleet_record& record, const std::string& from);
    void take_datagram(const direct::peer_datagram& datagram);
    void take_message(const direct::peer_message& message, instant now);
    void catch_up_from_peers();
    [[nodiscard]] auto bare_digest() -> direct::peer_message;
    [[nodiscard]] auto own_identity() const -> direct::peer_digest;
    [[nodiscard]] auto full_digest() -> direct::peer_message;
    [[nodiscard]] auto delta_digest(std::uint64_t since) -> direct::peer_message;
    void send_gossip(bool at_once);
    void schedule_flush();
    void flush_relay();
    void update_relay(instant now);
    void decide_soon();
    void decide();
    void tick();
    void count_gateways();
    void schedule_tick();
    void wait_for_signals();
    void reload();
    void begin_stop();
    void stop_accepting();
    void end_if_done();
    void end();
    [[nodiscard]] auto ready() const -> bool;
    void note_ready();

    boost::asio::io_context& loop_;
    loop_timers timers_;
    direct_gateway_settings settings_;
    platform_adapter platform_;
    record_source& source_;
    settings_reader reread_;
    gateway_metrics metrics_;
    direct::fleet_records records_;
    direct::upstream_list fleet_;
    direct::call_dispatcher dispatcher_;
    direct::client_retry_detector returns_;
    direct::peer_table peers_;
    direct::gossip_relay relay_;
    exchange_context context_;
    peer_link link_;
    boost::asio::ip::tcp::acceptor callers_;
    boost::asio::ip::tcp::acceptor ready_listener_;
    boost::asio::ip::tcp::acceptor metrics_listener_;
    boost::asio::signal_set signals_;
    status_pages status_;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
    std::string start_name_;
    std::uint64_t next_exchange_ = 0;
    std::uint64_t fetches_failed_ = 0;
    std::uint64_t digest_sequence_ = 0;
    direct::gossip_schedule gossip_schedule_;
    std::optional<timer_id> flush_timer_;
    instant flush_timer_at_{};
    instant started_at_{};
    instant source_read_at_{};
    instant behind_since_{};
    direct::source_outage outage_;
    bool decide_pending_ = false;
    bool was_ready_ = false;
    bool stopping_ = false;
    bool accepts_callers_ = false;
    bool accepting_ = true;
    instant stop_begun_{};
};

} // namespace dragonflymill::edge
