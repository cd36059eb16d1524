#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/serve/sidecar_messages.h"
#include "dragonflymill/serve/stream_stall_detector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflymill {

/// Tracks the completion attempts of one sidecar from the request for a permit until the engine has confirmed
/// that it no longer holds the stream.
///
/// Invariant: a permit is released only after the engine reported the end of the stream, confirmed its cancel
/// or restarted. The number of attempts is bounded by the permit controller, since each one holds a permit.
class attempt_tracker
{
public:
    /// Takes permits from `gate`, which must outlive the tracker. `cancel_backoff` is the interval between
    /// repeated cancels of one stream. `warm_up_prefix` starts the names of warm-up requests and must differ
    /// between starts of the sidecar. `watch` configures the detection of stalled streams.
    attempt_tracker(permit_controller& gate, duration cancel_backoff, std::string warm_up_prefix,
                    const stream_stall_options& watch = {});

    /// Sends a warm-up request to a cold engine that only gets requests larger than its present allowance: no
    /// success could raise the allowance otherwise. Sends at most one at a time, and only with a permit.
    void warm_up(instant now, const model_id& model, std::vector<sidecar_action>& actions);
    /// Cancels the warm-up request, if there is one.
    void end_warm_up(instant now, std::vector<sidecar_action>& actions);

    /// Handles an attempt of a gateway: it is granted or refused at once.
    void opened(instant now, const sidecar_input::attempt_opened& input,
                std::vector<sidecar_action>& actions);
    /// Handles an attempt that runs under a gang share with the permit `lease`.
    void opened_under(instant now, const sidecar_input::attempt_opened& input, lease_id lease,
                      std::vector<sidecar_action>& actions);
    /// Ends the attempt that runs under the permit of a share that has ended.
    void share_ended(instant now, lease_id lease, std::vector<sidecar_action>& actions);
    /// Handles the arrival of the prompt: starts the stream if the permit is valid and the deadline has not
    /// passed.
    void prompt_received(instant now, call_number call, std::vector<sidecar_action>& actions);
    /// Handles the cancellation of a call by its gateway.
    void cancelled(instant now, call_number call, std::vector<sidecar_action>& actions);
    /// Renews all permits that the gateway holds.
    void renew_gateway_permits(instant now, const process_id& gateway);
    /// Forwards tokens of the engine to the gateway.
    void tokens(instant now, const sidecar_input::engine_tokens& input, std::vector<sidecar_action>& actions);
    /// Handles the end of a complete answer or export.
    void finished(instant now, const sidecar_input::engine_finished& input,
                  std::vector<sidecar_action>& actions);
    /// Handles a stream that failed or was rejected by the engine.
    void failed(instant now, const sidecar_input::engine_failed& input, std::vector<sidecar_action>& actions);
    /// Compares with the engine's report: cancels streams that are unknown here, and drops pending cancels
    /// when the engine has restarted.
    void reconcile(instant now, const sidecar_input::engine_reported& report,
                   std::vector<sidecar_action>& actions);
    /// Handles the engine's confirmation of a cancel and releases the permit.
    void cancel_confirmed(instant now, const std::string& engine_request);
    /// Handles a permit that ended without a release by its holder.
    void permit_ended(instant now, const ended_permit& ended, std::vector<sidecar_action>& actions);
    /// Ends attempts that are past their deadline or stalled, and repeats pending cancels.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Returns the specification of an attempt in flight; null if there is none.
    [[nodiscard]] auto find(call_number call) const -> const attempt_spec*;
    /// Returns the number of attempts in flight, including those being cancelled.
    [[nodiscard]] auto size() const -> std::size_t { return attempts_.size() + cancels_.size(); }
    /// Returns the predicted pending prefill in tokens, by length class.
    [[nodiscard]] auto queued_prefill() const -> std::array<token_count, length_class_count>;
    /// Returns the number of streams past their first token.
    [[nodiscard]] auto running() const -> std::int64_t;

private:
    enum class phase
    {
        waiting_for_prompt,
        at_engine,
        decoding
    };

    struct attempt
    {
        attempt_spec spec;
        lease_id lease;
        deadline_budget limit;
        phase state = phase::waiting_for_prompt;
        bool is_warm_up = false; // no gateway receives its results
    };
    struct pending_cancel
    {
        call_number call;
        lease_id lease;
        instant resend_at;
        bool seen_by_engine = false;
    };
    using attempts = std::map<call_number, attempt>;

    static void send_to_gateway(const attempt& entry, sidecar_action action,
                                std::vector<sidecar_action>& actions);
    auto add(call_number call, attempt&& made) -> attempt&;
    void end_with(instant now, attempts::iterator entry, refusal_code code,
                  std::vector<sidecar_action>& actions);
    void cancel_at_engine(instant now, attempts::iterator entry, std::vector<sidecar_action>& actions);
    void release_permit(instant now, const attempt& entry, work_outcome outcome);
    void end_silent_attempts(instant now, std::vector<sidecar_action>& actions);
    void remove_attempt(attempts::iterator entry);

    permit_controller& gate_;
    duration cancel_backoff_;
    stream_stall_detector watch_;
    attempts attempts_;
    std::map<lease_id, call_number> by_lease_;
    std::map<process_id, std::set<call_number>> by_gateway_;
    std::set<std::pair<instant, call_number>> deadlines_;
    std::map<std::string, pending_cancel> cancels_;
    std::string warm_up_prefix_;
    std::uint64_t warm_up_count_ = 0;
    std::optional<call_number> warm_up_;
    work_cost warm_up_allowed_ = 0;
    duration warm_up_delay_{0};
    instant next_warm_up_ = instant::min();
    incarnation engine_start_;
};

/// Returns the engine's name for an attempt's stream. It is unique for each attempt, so that a late cancel of
/// one can't end the next.
[[nodiscard]] auto engine_request_of(const attempt_spec& spec) -> std::string;

} // namespace dragonflymill
