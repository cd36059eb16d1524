#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/cell_directory.h"
#include "dragonflymill/direct/fleet_cells.h"
#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/gossip_relay.h"
#include "dragonflymill/direct/gossip_schedule.h"
#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/source_outage.h"
#include "dragonflymill/direct/upstream_list.h"
#include "edge/caller_budget_log.h"
#include "edge/caller_capacity.h"
#include "edge/caller_listener.h"
#include "edge/caller_session.h"
#include "edge/exchange.h"
#include "edge/gateway_metrics.h"
#include "edge/header_names.h"
#include "edge/loop_timers.h"
#include "edge/peer_link.h"
#include "edge/quarantine_log.h"
#include "edge/record_source.h"
#include "edge/report_poller.h"
#include "edge/speed_log.h"
#include "edge/statement_recorder.h"
#include "edge/status_port.h"
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
    std::string name;                    ///< Name of this gateway process in logs and digests.
    std::string failure_domain;          ///< Failure domain that it runs in.
    socket_address callers;              ///< Listening address for callers.
    socket_address ready;                ///< Listening address for the load balancer's readiness checks.
    socket_address peers;                ///< Listening address for other gateways (UDP and TCP).
    socket_address metrics;              ///< Listening address for metrics; empty to serve none.
    std::vector<std::string> seeds;      ///< Peer addresses of gateways to contact first.
    direct::retry_budget_limits retries; ///< Limits of the retry budget.
    caller_capacity capacity;            ///< What it may spend on callers and peers.
    int millicores = 0; ///< CPU share of the process, in thousandths of a core; 0 if unknown.
    /// Time after an upstream announces that it drains during which it may still receive work.
    duration drain_delivery_bound = 2s;
    /// Time from SIGTERM until the process is killed.
    duration grace = 8s;
    /// Time from SIGTERM during which callers are still served, at most half of the grace time. The load
    /// balancer checks readiness once a second, removes a gateway after the second failed check, and
    /// connections that it opened before that arrive slightly later.
    duration deregistration_delay = 3s;
    /// Time between two requests for an upstream's report; 0: none is asked.
    duration report_interval = 1s;

    friend auto operator==(const direct_gateway_settings&, const direct_gateway_settings&) -> bool = default;
};

/// Names and encodings used by the external systems of a deployment; its adapter provides them.
struct platform_adapter
{
    header_names names;                             ///< Names of header fields.
    upstream_orders orders;                         ///< Encoders of orders to engines.
    statement_reader read_statement = no_statement; ///< Decodes what responses state about upstreams.
    report_reader reports;                          ///< Asks upstreams for reports; none by default.
};

/// A gateway process that connects to upstreams directly. Runs one event loop; only the logger has a thread
/// of its own. Its hosts run one thread at a time and each handover between threads costs a wake-up, so a
/// queue between threads would make every stream event more expensive.
class direct_gateway : public request_handler
{
public:
    /// Reads the settings again; `nullopt` if they are invalid.
    using settings_reader = std::function<std::optional<direct_gateway_settings>()>;

    direct_gateway(boost::asio::io_context& loop, direct_gateway_settings settings, platform_adapter platform,
                   record_source& source, settings_reader reload_settings);
    ~direct_gateway() override;
    direct_gateway(const direct_gateway&) = delete;
    auto operator=(const direct_gateway&) -> direct_gateway& = delete;

    /// Opens the listening sockets and starts serving. Fails if an address can't be listened on.
    [[nodiscard]] auto start() -> result<void>;

    /// Port on which callers are served; chosen by the system if the settings state 0.
    [[nodiscard]] auto caller_port() const -> std::uint16_t;

    /// Which upstreams take calls, and what they state in their responses.
    [[nodiscard]] auto availability() const -> const direct::upstream_availability&
    {
        return dispatcher_.availability();
    }
    /// Counters of this gateway.
    [[nodiscard]] auto metrics() const -> const gateway_metrics& { return metrics_; }

    auto begin(const std::shared_ptr<caller_session>& session, caller_request request)
        -> std::shared_ptr<in_flight_request> override;
    [[nodiscard]] auto limits() const -> direct::caller_limits override;
    [[nodiscard]] auto budget() const -> const std::shared_ptr<caller_budget>& override { return budget_; }
    [[nodiscard]] auto body_time(const http::request_reader& head) const -> duration override;
    [[nodiscard]] auto closing() const -> bool override { return stopping_; }
    void session_ended(caller_session* session) override;

private:
    void start_session(boost::asio::ip::tcp::socket socket);
    void start_source();
    void apply_records(const direct::records_update& update, const std::string& from);
    void apply_record(const direct::fleet_record& record, const std::string& from);
    void handle_datagram(const direct::peer_datagram& datagram);
    void handle_message(const direct::peer_message& message, instant now);
    void handle_other_cell(const direct::peer_message& message, instant now);
    void log_rate_limit(const rate_limit_report& report, const std::string& from) const;
    void fetch_missing_records();
    [[nodiscard]] auto reads_source(instant now) const -> bool;
    [[nodiscard]] auto digest_header() -> direct::peer_message;
    [[nodiscard]] auto own_identity() const -> direct::peer_digest;
    [[nodiscard]] auto full_digest() -> direct::peer_message;
    [[nodiscard]] auto delta_digest(const direct::due_digest& due) -> direct::peer_message;
    void send_gossip(bool at_once);
    /// Sends evidence of crashes as soon as it is due, without waiting for the next occasion.
    void schedule_evidence(const direct::digest_state& state);
    void send_to_other_cells();
    void update_cells(instant now);
    void schedule_flush();
    void flush_relay();
    void update_relay(instant now);
    void schedule_dispatch();
    void dispatch_calls();
    void tick();
    void update_gateway_count();
    void schedule_tick();
    void wait_for_signals();
    void reload();
    void begin_shutdown();
    void stop_accepting_requests();
    void stop_loop_if_done();
    void finish_shutdown();
    [[nodiscard]] auto ready() const -> bool;
    void update_readiness();

    boost::asio::io_context& loop_;
    loop_timers timers_;
    direct_gateway_settings settings_;
    platform_adapter platform_;
    record_source& source_;
    settings_reader reload_settings_;
    gateway_metrics metrics_;
    direct::fleet_records records_;
    direct::upstream_list fleet_;
    direct::call_dispatcher dispatcher_;
    statement_recorder statements_;
    direct::client_retry_detector retry_detector_;
    direct::fleet_cells cells_;
    direct::peer_table peers_;
    direct::cell_directory other_cells_;
    direct::gossip_relay relay_;
    exchange_context context_;
    peer_link link_;
    std::unique_ptr<report_poller> reports_;
    speed_log speed_log_;
    quarantine_log quarantine_log_;
    caller_listener callers_;
    status_port ready_port_;
    status_port metrics_port_;
    boost::asio::signal_set signals_;
    std::shared_ptr<caller_budget> budget_;
    caller_budget_log budget_log_{"callers"};
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
    std::string incarnation_name_;
    std::uint64_t next_exchange_ = 0;
    std::uint64_t fetches_failed_ = 0;
    std::uint64_t digest_sequence_ = 0;
    std::uint64_t contact_round_ = 0;
    instant contacted_at_{};
    direct::gossip_schedule gossip_schedule_;
    std::optional<timer_id> evidence_timer_;
    std::optional<timer_id> flush_timer_;
    instant flush_timer_at_{};
    instant started_at_{};
    instant source_read_at_{};
    instant behind_since_{};
    direct::source_outage outage_;
    bool dispatch_scheduled_ = false;
    bool reported_ready_ = false;
    bool stopping_ = false;
    bool accepts_requests_ = true;
    instant shutdown_started_at_{};
};

} // namespace dragonflymill::edge
