#pragma once

#include "dragonflymill/admission/cold_sign_counter.h"
#include "dragonflymill/admission/cold_start_ramp.h"
#include "dragonflymill/admission/first_token_model.h"
#include "dragonflymill/admission/load_step_detector.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Settings of a permit_controller.
struct permit_controller_options
{
    cold_start_options ramp;         ///< Floor, ceiling and steps of the cold start.
    first_token_options first_token; ///< How first-token times are judged.
    cold_sign_options cold_sign;     ///< How many slow first tokens are a cold sign.
    load_step_options load_step;     ///< How load reports are judged.
    /// Share of what is allowed that no other class may take, by class: short requests always find room.
    std::array<double, length_class_count> reserved{0.15, 0.05, 0.0, 0.0};
    /// Stretches the cold limit of classes that the engine serves at low priority.
    std::array<double, length_class_count> leniency{1.0, 1.0, 2.0, 4.0};
    duration lease_term = 3s;         ///< Time after which a permit that was not renewed ends.
    duration pause_threshold = 1s;    ///< A gap between two calls that tells this process was paused.
    std::size_t max_permits = 4'096;  ///< Permits at the same time; more are refused.
    duration retry_base = 50ms;       ///< Shortest retry time of a refusal.
    duration retry_per_asker = 5ms;   ///< Spread of retry times for each refusal of the last second.
    duration retry_spread_limit = 5s; ///< Longest spread of retry times.
};

/// A gateway's request for a permit.
struct permit_request
{
    process_id gateway;                                  ///< The gateway.
    length_class size_class = length_class::interactive; ///< Class by predicted prefill.
    work_cost cost = 1;                                  ///< Tokens it will hold; 1 for a plain call.
    token_count prefill = 0;                             ///< Tokens that the engine has to prefill.

    friend auto operator==(const permit_request&, const permit_request&) -> bool = default;
};

/// Leave to put one piece of work to the upstream.
struct permit
{
    lease_id lease; ///< Names it in every later call.
    instant until;  ///< When it ends unless it is renewed.

    friend auto operator==(const permit&, const permit&) -> bool = default;
};

/// What an ask leads to.
using permit_result = std::variant<permit, refusal>;

/// How a piece of work ended.
enum class work_outcome
{
    success,    ///< A whole answer.
    cancelled,  ///< Ended by the caller, or the upstream confirmed a cancel.
    failed,     ///< Failed without telling anything about the load.
    overloaded, ///< The upstream refused it for too much load: a cold sign.
};

/// An upstream's word about itself.
struct upstream_report
{
    incarnation start;            ///< Number of its present start.
    bool cold = false;            ///< Whether it calls itself cold.
    work_cost queued_prefill = 0; ///< Work waiting in it.
    duration age{0};              ///< How old the figures are.

    friend auto operator==(const upstream_report&, const upstream_report&) -> bool = default;
};

/// Why a permit ended without its holder saying so.
enum class permit_end
{
    not_renewed,      ///< Its holder is gone; what it began has to be cancelled.
    never_used,       ///< It ended before its work began.
    upstream_started, ///< The upstream started anew: what it held is gone.
    turned_cold,      ///< Taken back, before its work began, at a cold sign.
    drained,          ///< Taken back, before its work began, since the upstream is taken out.
};

/// A permit that ended without its holder saying so.
struct ended_permit
{
    lease_id lease;                          ///< The permit.
    process_id holder;                       ///< Who held it.
    permit_end why = permit_end::never_used; ///< Why it ended.
    bool begun = false;                      ///< Whether its work had begun at the upstream.

    friend auto operator==(const ended_permit&, const ended_permit&) -> bool = default;
};

/// The gate's state, as gateways see it beside each answer.
struct gate_load
{
    work_cost outstanding = 0; ///< Cost of the permits that count now.
    work_cost allowed = 0;     ///< What the ramp allows now.
    work_cost ceiling = 0;     ///< What it allows when warm.
    std::size_t permits = 0;   ///< Number of permits.
    bool draining = false;     ///< Whether nothing new is taken.

    friend auto operator==(const gate_load&, const gate_load&) -> bool = default;
};

/// The one place where work enters an upstream: grants permits by cost and length class, under a ramp that
/// starts at what the upstream carries in cold start.
///
/// Invariant: no grant brings the outstanding cost over what the ramp allows. A permit counts from its grant
/// until done(), until it ends unused, or until the upstream starts anew. One whose work has begun and whose
/// holder is gone counts on until the upstream's cancel is confirmed by done(): its work is still there.
/// Bound: `max_permits`; at the bound an ask is refused with ran `no`.
class permit_controller
{
public:
    /// A gate at its floor. `seed` spreads retry times differently from gate to gate.
    permit_controller(instant now, permit_controller_options options, std::uint64_t seed = 0);

    /// Grants a permit or refuses with ran `no` and a retry time.
    [[nodiscard]] auto ask(instant now, const permit_request& request) -> permit_result;
    /// The first byte is about to leave: false if the permit has ended, and then it must not. A gateway or
    /// sidecar that wakes late with an old permit is stopped here.
    [[nodiscard]] auto begin(instant now, lease_id lease) -> bool;
    /// The holder still wants it; false if it has ended.
    [[nodiscard]] auto renew(instant now, lease_id lease) -> bool;
    /// The first token, or the first byte of a plain service's answer, has come.
    void first_token(instant now, lease_id lease);
    /// The work has left the upstream; its cost is free again. An unknown lease is ignored.
    void done(instant now, lease_id lease, work_outcome outcome);

    /// Takes in the upstream's word about itself.
    void report(instant now, const upstream_report& word);
    /// Takes out of service, or back; back means back to the floor.
    void set_draining(instant now, bool draining);
    /// New floor and ceiling out of a bundle.
    void resize(instant now, work_cost floor, work_cost ceiling);
    /// The model or adapter set changed: first-token times are learned anew, from the floor.
    void upstream_changed(instant now);

    /// Ends what is over, looks for overdue first tokens, and hands out the permits that ended without their
    /// holder's word since the last call. To be called a few times in each lease term.
    [[nodiscard]] auto tick(instant now) -> std::vector<ended_permit>;

    /// Outstanding work, allowance and drain.
    [[nodiscard]] auto load() const -> gate_load;
    /// Largest cost that a class can ever be granted; more is refused as `too_large`.
    [[nodiscard]] auto largest_cost(length_class size_class) const -> work_cost;
    /// Permits, longest class and newest first, without which the outstanding cost would be under what is
    /// allowed; empty when it is. Streams among them can be moved to another engine after a cold sign.
    [[nodiscard]] auto over_allowance() const -> std::vector<lease_id>;
    /// Size of a warm-up request of the sidecar's own; 0 when none is needed. Needed when only requests
    /// larger than the present allowance come: none could be granted, so none could earn a step either.
    [[nodiscard]] auto warm_up_cost(instant now) const -> work_cost;
    /// The ramp, for display.
    [[nodiscard]] auto ramp() const -> const cold_start_ramp& { return ramp_; }
    /// The first-token line, for display.
    [[nodiscard]] auto first_token_line_now() const -> first_token_line { return model_.line(); }
    /// The same, once it can be judged by.
    [[nodiscard]] auto trusted_first_token_line() const -> std::optional<first_token_line>;

private:
    struct entry
    {
        permit_request request;
        instant granted;
        instant until;
        std::optional<instant> began;
        std::uint64_t epoch = 0;
        work_cost peak = 0;
        bool answered = false;
        bool orphaned = false;
        std::optional<double> stretch;
    };
    using entries = std::map<lease_id, entry>;

    [[nodiscard]] auto reserved_for(length_class size_class, work_cost allowed) const -> work_cost;
    [[nodiscard]] auto room_for(length_class size_class) const -> work_cost;
    [[nodiscard]] auto refuse(instant now, const permit_request& request, refusal_code code) -> refusal;
    [[nodiscard]] auto retry_after(instant now, const process_id& asker) -> duration;
    [[nodiscard]] auto grant(instant now, const permit_request& request) -> permit;
    void advance(instant now);
    void end_expired(instant now);
    void find_overdue(instant now);
    void set_until(lease_id lease, entry& held, instant until);
    void end(entries::iterator held, permit_end why);
    void end_unbegun(permit_end why);
    void remove(entries::iterator held);
    void turned_cold(instant now);
    void first_token_was(instant now, first_token_verdict verdict);
    void measure(instant now, entry& held);
    void credit(instant now, const entry& held);

    permit_controller_options options_;
    std::uint64_t seed_;
    cold_start_ramp ramp_;
    first_token_model model_;
    cold_sign_counter cold_signs_;
    load_step_detector load_step_;
    entries permits_;
    std::set<std::pair<instant, lease_id>> ends_;
    std::array<work_cost, length_class_count> outstanding_by_class_{};
    work_cost outstanding_ = 0;
    std::vector<ended_permit> ended_;
    std::uint64_t next_lease_ = 1;
    std::optional<incarnation> upstream_start_;
    std::optional<instant> last_call_;
    std::optional<instant> last_room_refusal_;
    std::optional<instant> last_size_refusal_;
    instant refusal_window_;
    std::uint64_t refusals_in_window_ = 0;
    std::uint64_t refusals_before_ = 0;
    bool draining_ = false;
};

} // namespace dragonflymill
