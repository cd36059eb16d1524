#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/client_retry_detector.h"
#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/response/response_guard.h"
#include "edge/caller_session.h"
#include "edge/gateway_metrics.h"
#include "edge/header_names.h"
#include "edge/memory_reservation.h"
#include "edge/statement_recorder.h"
#include "edge/upstream_call.h"
#include "edge/upstream_request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// Services that all exchanges of a gateway share.
struct exchange_context
{
    boost::asio::io_context& loop;                  ///< Event loop.
    loop_timers& timers;                            ///< Timers of the loop.
    const header_names& names;                      ///< Header field names of the deployment.
    const upstream_orders& orders;                  ///< Encoders of KV cache reservations.
    direct::call_dispatcher& dispatcher;            ///< Queue of calls and choice of upstreams.
    statement_recorder& statements;                 ///< Records what responses state about upstreams.
    direct::client_retry_detector& retry_detector;  ///< Detects retries by callers.
    const direct::upstream_list& fleet;             ///< Configuration and known upstreams.
    const direct::fleet_records& records;           ///< Source of the revision in log lines.
    const direct::peer_table& peers;                ///< Source of the view's age in log lines.
    gateway_metrics& metrics;                       ///< Counters and histograms.
    std::function<void()> schedule_dispatch;        ///< Schedules a dispatch round.
    std::function<void(std::uint64_t)> on_finished; ///< Called with an exchange's id when it has ended.
};

/// One request of a caller from its arrival to the end of its response, over all attempts at upstreams.
class exchange : public in_flight_request,
                 public response_handler,
                 public std::enable_shared_from_this<exchange>
{
public:
    exchange(std::uint64_t id, const std::shared_ptr<caller_session>& session, caller_request request,
             exchange_context& context);
    ~exchange() override;
    exchange(const exchange&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;

    /// Checks the request and queues it for dispatch, or refuses it at once.
    void begin();
    /// Starts an attempt at the assigned upstream.
    void on_dispatched(const direct::dispatch_assignment& assignment);
    /// Ends the exchange, as the dispatcher can't serve it.
    void on_refused(const direct::dispatch_refusal& refusal);
    /// Ends the exchange in its current state, as the process stops. A caller whose request hasn't run is
    /// told to retry after `retry_after`.
    void abort(duration retry_after);

    void on_caller_disconnected() override;
    auto on_connected() -> bool override;
    auto on_response_head(const http::response_head& head) -> bool override;
    void on_response_body(const std::string& bytes) override;
    void on_response_complete() override;
    void on_response_failed(direct::attempt_end end, const std::string& why) override;

private:
    enum class response_mode
    {
        none,     ///< No head has been received.
        buffered, ///< The body is buffered and forwarded when it is complete.
        events,   ///< An event stream, forwarded event by event.
        rejected, ///< The upstream states that it hasn't run the request.
    };

    /// Finds the request's route and account; refuses the request and returns false on failure.
    auto find_route() -> bool;
    [[nodiscard]] auto authenticate() -> bool;
    void start_deadline_timer(duration limit);
    void enqueue();
    void reserve_kv_cache();
    [[nodiscard]] auto order_response_recorder() const -> memory_reservation::response_observer;
    void on_reservation_failed(const std::vector<std::string>& unreachable);
    /// Returns whether the call may still be sent to the upstreams that it has been assigned to.
    [[nodiscard]] auto may_still_send(instant now) const -> bool;
    /// Returns whether the call's prompt has been quarantined since the call was assigned.
    [[nodiscard]] auto became_quarantined(instant now) const -> bool;
    /// Returns the assigned call to the queue before any byte of it was sent.
    void withhold();
    void send();
    [[nodiscard]] auto make_gateway_fields(const direct::dispatch_assignment& assignment, instant now) const
        -> gateway_fields;
    void record_sign_of_life();
    void forward_events(const response::checked_body& checked);
    /// Claims the memory of the events that are held; false if there is no room for it.
    [[nodiscard]] auto claim_events() -> bool;
    /// Buffers a part of a body that is no event stream, or forwards it if the body is too large to buffer.
    void forward_part(const std::string& bytes);
    /// Drops what is buffered of an attempt's body.
    void discard_body();
    void report_fault(response::response_fault fault, std::string_view faulty_bytes) const;
    /// Ends the attempt, as the upstream's bytes are no part of a valid response.
    void reject_response(response::response_fault fault);
    [[nodiscard]] auto forwarded_fields() const -> std::vector<header_field>;
    void forward_head();
    [[nodiscard]] auto stall_timeout_for() const -> duration;
    void arm_stall_timer();
    void on_stall_timeout(std::uint64_t attempt);
    /// Returns whether an upstream, still in the same run, accepts work by what is published.
    [[nodiscard]] auto accepts_work(const direct::upstream_entry& upstream) const -> bool;
    void end_attempt(direct::attempt_end end, const std::string& why);
    /// Records that the call was lost with an upstream or with an engine that prefilled a part of it.
    void record_evidence(direct::attempt_end end, const direct::prefill_engine* prefill_engine, instant now);
    /// Records the same if the call ends for another reason while its upstream is silent for too long,
    /// without other prompts to prefill first.
    void record_silence();
    [[nodiscard]] auto failed_prefill_engine() const -> const direct::prefill_engine*;
    [[nodiscard]] auto may_have_run() const -> bool { return queued_call_.attempts.run() > 0; }
    [[nodiscard]] auto progress(instant now) const -> direct::request_progress;
    void log_attempt_ended(const direct::upstream_entry& upstream, direct::attempt_end end,
                           const std::string& why, direct::next_step next) const;
    void apply_next_step(direct::next_step step, const std::string& why);
    /// Ends a response that has begun as incomplete.
    void cut(const std::string& why);
    void release_upstream();
    void on_deadline();
    void refuse(unsigned status, const refusal& refused, const std::string& why);
    [[nodiscard]] auto retry_after() -> duration;
    void send_response();
    void log_answered(unsigned status);
    void finish();

    std::uint64_t id_;
    std::weak_ptr<caller_session> session_;
    caller_request request_;
    exchange_context& context_;
    std::shared_ptr<const direct::fleet_config> config_;
    const direct::route_rule* route_ = nullptr;
    const direct::account_rule* account_ = nullptr;
    std::string request_id_;
    instant arrived_{};
    instant deadline_{};
    direct::waiting_call queued_call_;
    instant queue_timeout_at_{}; // of the first attempt
    bool is_queued_ = false;
    bool finished_ = false;

    std::shared_ptr<memory_reservation> reservation_;
    std::shared_ptr<upstream_call> call_;
    std::optional<direct::dispatch_assignment> assignment_;
    instant sent_at_{};
    instant last_byte_at_{};

    response_mode mode_ = response_mode::none;
    http::response_head head_;
    std::string body_;
    std::optional<response::response_guard> guard_; // from the choice of a route on
    bool response_started_ = false;
    std::size_t events_ = 0;
    std::size_t attempt_events_ = 0; // of these, the ones of the current attempt
    instant attempt_first_event_at_{};
    std::optional<instant> first_event_at_;
    instant last_event_at_{};
    duration max_event_gap_{};

    std::optional<timer_id> deadline_timer_;
    std::optional<timer_id> stall_timer_;
};

} // namespace dragonflymill::edge
