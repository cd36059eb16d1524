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

/// The tries at completions that one sidecar has in hand: from the ask for a permit until the engine
/// confirmed that it holds nothing of it.
///
/// Invariant: a permit is given back only after the engine said that the stream ended, or confirmed its
/// cancel, or started anew. Bound: the permit gate's, since every try in hand has a permit.
class attempt_tracker
{
public:
    /// Works under `gate`, which the owner keeps alive. `cancel_backoff` is the time between two cancels of
    /// one stream.
    /// `warm_ups` begins the names of the engine's warm-up requests, unlike those of any other start.
    /// `watch` says when a stream's silence counts.
    attempt_tracker(permit_controller& gate, duration cancel_backoff, std::string warm_ups,
                    const stream_stall_options& watch = {});

    /// Puts a request of the sidecar's own to an engine that is cold and is asked for nothing that it can
    /// take: without one it would stay cold. At most one at a time, and only if the gate grants it.
    void warm_up(instant now, const model_id& model, std::vector<sidecar_action>& actions);
    /// Ends the warm-up request, if there is one.
    void end_warm_up(instant now, std::vector<sidecar_action>& actions);

    /// A gateway puts a try: granted or refused at once.
    void opened(instant now, const sidecar_input::attempt_opened& input,
                std::vector<sidecar_action>& actions);
    /// A gateway puts a try under a share whose permit is `lease`.
    void opened_under(instant now, const sidecar_input::attempt_opened& input, lease_id lease,
                      std::vector<sidecar_action>& actions);
    /// The share under whose permit a try may run has ended.
    void share_ended(instant now, lease_id lease, std::vector<sidecar_action>& actions);
    /// The prompt is here: the stream goes to the engine if permit and time limit still hold.
    void prompt_received(instant now, call_number call, std::vector<sidecar_action>& actions);
    /// The gateway no longer wants it.
    void cancelled(instant now, call_number call, std::vector<sidecar_action>& actions);
    /// Renews all that the gateway holds.
    void gateway_heard(instant now, const process_id& gateway);
    /// Passes tokens on.
    void tokens(instant now, const sidecar_input::engine_tokens& input, std::vector<sidecar_action>& actions);
    /// The answer is whole.
    void finished(instant now, const sidecar_input::engine_finished& input,
                  std::vector<sidecar_action>& actions);
    /// The stream broke.
    void failed(instant now, const sidecar_input::engine_failed& input, std::vector<sidecar_action>& actions);
    /// Takes in what the engine holds: what nobody here knows is cancelled, what it no longer holds is
    /// confirmed.
    void reconcile(instant now, const sidecar_input::engine_reported& report,
                   std::vector<sidecar_action>& actions);
    /// The engine confirmed a cancel.
    void cancel_confirmed(instant now, const std::string& engine_request);
    /// A permit ended without its holder's word.
    void permit_ended(instant now, const ended_permit& ended, std::vector<sidecar_action>& actions);
    /// Ends what is over its time limit or silent for too long, and repeats cancels.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// What a try in hand is about; null if there is none.
    [[nodiscard]] auto find(call_number call) const -> const attempt_spec*;
    /// Tries in hand, those being cancelled included.
    [[nodiscard]] auto size() const -> std::size_t { return attempts_.size() + cancels_.size(); }
    /// Predicted prefill not done yet, by class.
    [[nodiscard]] auto queued_prefill() const -> std::array<token_count, length_class_count>;
    /// Streams past their first token.
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
        phase now_in = phase::waiting_for_prompt;
        bool own = false; // a warm-up: nobody is told of it
    };
    struct pending_cancel
    {
        call_number call;
        lease_id lease;
        instant next_try;
        bool seen_by_engine = false;
    };
    using attempts = std::map<call_number, attempt>;

    static void tell(const attempt& held, sidecar_action action, std::vector<sidecar_action>& actions);
    auto add(call_number call, attempt&& made) -> attempt&;
    void end_with(instant now, attempts::iterator held, refusal_code code,
                  std::vector<sidecar_action>& actions);
    void cancel_at_engine(instant now, attempts::iterator held, std::vector<sidecar_action>& actions);
    void give_back(instant now, const attempt& held, work_outcome outcome);
    void give_up_silent(instant now, std::vector<sidecar_action>& actions);
    void forget(attempts::iterator held);

    permit_controller& gate_;
    duration cancel_backoff_;
    stream_stall_detector watch_;
    attempts attempts_;
    std::map<lease_id, call_number> by_lease_;
    std::map<process_id, std::set<call_number>> by_gateway_;
    std::set<std::pair<instant, call_number>> deadlines_;
    std::map<std::string, pending_cancel> cancels_;
    std::string warm_ups_;
    std::uint64_t warm_up_count_ = 0;
    std::optional<call_number> warm_up_;
    work_cost warm_up_allowed_ = 0;
    duration warm_up_wait_{0};
    instant next_warm_up_ = instant::min();
    incarnation engine_start_;
};

/// The engine's name for a try's stream: unique for each try, so that a late cancel of one can't end the
/// next.
[[nodiscard]] auto engine_request_of(const attempt_spec& spec) -> std::string;

} // namespace dragonflymill
