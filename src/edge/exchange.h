#pragma once

#include "dragonflymill/core/refusal.h"
#include "dragonflymill/direct/call_dispatcher.h"
#include "dragonflymill/direct/client_retry_detector.h"
#include "dragonflymill/direct/event_relay.h"
#include "dragonflymill/direct/fleet_records.h"
#include "dragonflymill/direct/upstream_list.h"
#include "edge/caller_session.h"
#include "edge/gateway_metrics.h"
#include "edge/header_names.h"
#include "edge/memory_reservation.h"
#include "edge/upstream_call.h"
#include "edge/upstream_request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// What exchanges share.
struct exchange_context
{
    boost::asio::io_context& loop;           ///< The event loop.
    loop_timers& timers;                     ///< Its timers.
    const header_names& names;               ///< Of the outside systems.
    const upstream_orders& orders;           ///< How engines are told to set memory aside.
    direct::call_dispatcher& dispatcher;     ///< Decides where calls go.
    direct::client_retry_detector& returns;  ///< Tells returning callers.
    const direct::upstream_list& fleet;      ///< Configuration and upstreams.
    const direct::fleet_records& records;    ///< For the revision in log lines.
    gateway_metrics& metrics;                ///< Counts.
    std::function<void()> decide_soon;       ///< Asks for a round of decisions.
    std::function<void(std::uint64_t)> over; ///< An exchange has ended.
};

/// One request of a caller, from its arrival to its answer, over all attempts.
class exchange : public open_request, public answer_receiver, public std::enable_shared_from_this<exchange>
{
public:
    exchange(std::uint64_t id, const std::shared_ptr<caller_session>& session, caller_request request,
             exchange_context& context);
    ~exchange() override;
    exchange(const exchange&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;

    /// Checks the request and lets it wait for an upstream, or answers it at once.
    void begin();
    /// It goes to an upstream now.
    void dispatched(const direct::dispatch_assignment& order);
    /// It can't be served.
    void refused(const direct::dispatch_refusal& refusal);
    /// The process stops now: ends it as it is. A caller whose request has not run is asked to come back
    /// after `retry_after`.
    void stop(duration retry_after);

    void caller_left() override;
    auto answer_head_came(const answer_head& head) -> bool override;
    void answer_body_came(const std::string& bytes) override;
    void answer_completed() override;
    void answer_failed(direct::attempt_end end, const std::string& why) override;

private:
    enum class answer_mode
    {
        none,     ///< No head yet.
        whole,    ///< The body is gathered and passed on when it is complete.
        events,   ///< A stream, passed on event by event.
        rejected, ///< The upstream has not run the request.
    };

    /// Finds the route and the account; refuses the request and returns false if it has none.
    auto find_route() -> bool;
    [[nodiscard]] auto authenticate() -> bool;
    void set_limit(duration limit);
    void describe_call(duration limit);
    void wait_for_upstream();
    void reserve_memory();
    void reservation_failed(const std::vector<std::string>& unreachable);
    [[nodiscard]] auto may_still_send(const direct::dispatch_assignment& order) const -> bool;
    void send();
    [[nodiscard]] auto own_fields(const direct::dispatch_assignment& order, instant now) const
        -> gateway_fields;
    void relay(const std::string& bytes);
    [[nodiscard]] auto passed_fields() const -> std::vector<header_field>;
    void pass_head();
    [[nodiscard]] auto stall_timeout_for() const -> duration;
    void watch_stall();
    void silence(std::uint64_t attempt);
    void end_attempt(direct::attempt_end end, const std::string& why);
    [[nodiscard]] auto lost_reader() const -> const direct::prefill_engine*;
    [[nodiscard]] auto may_have_run() const -> bool { return wait_.attempts.run() > 0; }
    [[nodiscard]] auto progress(instant now) const -> direct::request_progress;
    void log_attempt_ended(const std::string& upstream, direct::attempt_end end, const std::string& why,
                           direct::next_step next) const;
    void take_step(direct::next_step step, const std::string& why);
    void release_upstream();
    void limit_reached();
    void refuse(unsigned status, const refusal& refused, const std::string& why);
    void answer_whole();
    void log_answered(unsigned status);
    void finish();

    std::uint64_t id_;
    std::weak_ptr<caller_session> session_;
    caller_request request_;
    exchange_context& context_;
    std::shared_ptr<const direct::fleet_config> config_;
    const direct::route_rule* route_ = nullptr;
    const direct::account_rule* account_ = nullptr;
    std::string request_name_;
    instant arrived_{};
    instant limit_at_{};
    direct::waiting_call wait_;
    bool waiting_ = false;
    bool over_ = false;

    std::shared_ptr<memory_reservation> memory_;
    std::shared_ptr<upstream_call> call_;
    std::optional<direct::dispatch_assignment> order_;
    instant sent_at_{};
    instant heard_at_{};

    answer_mode mode_ = answer_mode::none;
    answer_head head_;
    std::string body_;
    direct::event_relay relay_;
    bool answer_begun_ = false;
    std::size_t events_ = 0;
    std::optional<instant> first_event_at_;
    instant last_event_at_{};
    duration longest_pause_{};

    std::optional<timer_id> limit_timer_;
    std::optional<timer_id> stall_timer_;
};

} // namespace dragonflymill::edge
