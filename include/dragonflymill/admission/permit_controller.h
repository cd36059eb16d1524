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
    cold_start_options ramp;         ///< Ramp of the cold start.
    first_token_options first_token; ///< Classification of first-token times.
    cold_sign_options cold_sign;     ///< Number of slow first tokens that are a cold sign.
    load_step_options load_step;     ///< Detection of a cold upstream from load reports.
    /// Share of the allowance reserved for each length class, so that short requests always have capacity.
    std::array<double, length_class_count> reserved{0.15, 0.05, 0.0, 0.0};
    /// Multiplier of the cold limit of each length class; the engine serves the long ones at low priority.
    std::array<double, length_class_count> leniency{1.0, 1.0, 2.0, 4.0};
    duration lease_term = 3s;        ///< Time after which a permit expires unless it is renewed.
    duration pause_threshold = 1s;   ///< A longer gap between two calls counts as a pause of this process.
    std::size_t max_permits = 4'096; ///< Maximum number of permits; more are refused.
    duration retry_base = 50ms;      ///< Minimum retry time of a refusal.
    duration retry_spread_per_refusal = 5ms; ///< Jitter of retry times per refusal in the last second.
    duration retry_spread_limit = 5s;        ///< Maximum jitter of retry times.
};

/// A gateway's request for a permit.
struct permit_request
{
    process_id gateway;                                  ///< The gateway.
    length_class size_class = length_class::interactive; ///< Length class by predicted prefill.
    work_cost cost = 1;      ///< Tokens of memory to hold; 1 for a call of a plain service.
    token_count prefill = 0; ///< Predicted prefill in tokens.

    friend auto operator==(const permit_request&, const permit_request&) -> bool = default;
};

/// Permission to send one piece of work to the upstream.
struct permit
{
    lease_id lease; ///< Identifies the permit in later calls.
    instant until;  ///< Time of expiry unless renewed.

    friend auto operator==(const permit&, const permit&) -> bool = default;
};

/// Result of a request for a permit.
using permit_result = std::variant<permit, refusal>;

/// Outcome of a piece of work.
enum class work_outcome
{
    success,    ///< Complete answer.
    cancelled,  ///< Cancelled by the caller, or the upstream confirmed a cancel.
    failed,     ///< Failed for a reason unrelated to load.
    overloaded, ///< Rejected by the upstream for overload, which is a cold sign.
};

/// Load report of an upstream.
struct upstream_report
{
    incarnation start;            ///< Incarnation of the upstream.
    bool cold = false;            ///< Whether the upstream reports to be cold.
    work_cost queued_prefill = 0; ///< Work queued at the upstream.
    duration age{0};              ///< Age of the figures.

    friend auto operator==(const upstream_report&, const upstream_report&) -> bool = default;
};

/// Reason why a permit ended without a release by its holder.
enum class permit_end
{
    not_renewed,      ///< The holder didn't renew it; its work has to be cancelled.
    never_used,       ///< It expired before its work began.
    upstream_started, ///< The upstream restarted and lost the work.
    turned_cold,      ///< Revoked before its work began, at a cold sign.
    drained,          ///< Revoked before its work began, since the upstream is drained.
};

/// A permit that ended without a release by its holder.
struct ended_permit
{
    lease_id lease;                          ///< Lease of the permit.
    process_id holder;                       ///< Gateway that held it.
    permit_end why = permit_end::never_used; ///< Reason of the end.
    bool begun = false;                      ///< Whether its work had begun at the upstream.

    friend auto operator==(const ended_permit&, const ended_permit&) -> bool = default;
};

/// State of the permit controller, sent to gateways with each answer.
struct admission_load
{
    work_cost outstanding = 0; ///< Total cost of the permits.
    work_cost allowed = 0;     ///< Present allowance of the ramp.
    work_cost ceiling = 0;     ///< Allowance when warm.
    std::size_t permits = 0;   ///< Number of permits.
    bool draining = false;     ///< Whether new work is refused.

    friend auto operator==(const admission_load&, const admission_load&) -> bool = default;
};

/// Admission control of one upstream, which all work for it passes. Grants permits by cost and length class,
/// limited by a ramp that starts at the cold-start capacity of the upstream.
///
/// Invariant: no grant raises the outstanding cost above the allowance of the ramp. A permit counts from its
/// grant until done(), until it expires unused, or until the upstream restarts. A permit that expires after
/// its work has begun keeps counting until the confirmed cancel is reported by done(), since the upstream
/// still holds the work. Bound: `max_permits`; beyond it a request is refused with ran `no`.
class permit_controller
{
public:
    /// Starts at the floor of the ramp. `seed` varies the jitter of retry times between upstreams.
    permit_controller(instant now, permit_controller_options options, std::uint64_t seed = 0);

    /// Grants a permit, or refuses with ran `no` and a retry time.
    [[nodiscard]] auto ask(instant now, const permit_request& request) -> permit_result;
    /// Marks the permit as used, right before the first byte is sent. Returns false if the permit has ended;
    /// then nothing may be sent. This stops a gateway or sidecar that resumes from a pause with an expired
    /// permit.
    [[nodiscard]] auto begin(instant now, lease_id lease) -> bool;
    /// Renews the permit for another term. Returns false if it has ended.
    [[nodiscard]] auto renew(instant now, lease_id lease) -> bool;
    /// Records the first token, or the first byte of a plain service's answer.
    void first_token(instant now, lease_id lease);
    /// Releases the permit once the work has left the upstream. An unknown lease is ignored.
    void done(instant now, lease_id lease, work_outcome outcome);

    /// Applies a load report of the upstream.
    void report(instant now, const upstream_report& status);
    /// Starts or ends draining. The ramp restarts at the floor after a drain.
    void set_draining(instant now, bool draining);
    /// Sets floor and ceiling of the ramp from a bundle.
    void resize(instant now, work_cost floor, work_cost ceiling);
    /// Handles a change of the models or adapters: relearns first-token times and restarts the ramp at the
    /// floor.
    void upstream_changed(instant now);

    /// Expires permits, checks for overdue first tokens, and returns the permits that ended without a release
    /// since the last call. Must be called several times in each lease term.
    [[nodiscard]] auto tick(instant now) -> std::vector<ended_permit>;

    /// Returns outstanding work, allowance and drain state.
    [[nodiscard]] auto load() const -> admission_load;
    /// Returns the largest cost that can be granted to a class when warm; more is refused as `too_large`.
    [[nodiscard]] auto largest_cost(length_class size_class) const -> work_cost;
    /// Returns the permits whose release would bring the outstanding cost within the allowance, longest class
    /// and newest first; empty if it is within. Their streams can be moved to another engine after a cold
    /// sign.
    [[nodiscard]] auto over_allowance() const -> std::vector<lease_id>;
    /// Returns the cost of a warm-up request; 0 if none is needed. One is needed when only requests larger
    /// than the present allowance arrive: none can be granted, so no success could raise the allowance.
    [[nodiscard]] auto warm_up_cost(instant now) const -> work_cost;
    /// Returns the ramp, for display.
    [[nodiscard]] auto ramp() const -> const cold_start_ramp& { return ramp_; }
    /// Returns the first-token line, for display.
    [[nodiscard]] auto current_first_token_line() const -> first_token_line { return model_.line(); }
    /// Returns the first-token line once it is trusted.
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
        bool measured = false;
        bool orphaned = false;
        std::optional<double> slowdown;
    };
    using entries = std::map<lease_id, entry>;

    [[nodiscard]] auto reserved_for(length_class size_class, work_cost allowed) const -> work_cost;
    [[nodiscard]] auto available_for(length_class size_class) const -> work_cost;
    [[nodiscard]] auto refuse(instant now, const permit_request& request, refusal_code code) -> refusal;
    [[nodiscard]] auto retry_after(instant now, const process_id& asker) -> duration;
    [[nodiscard]] auto grant(instant now, const permit_request& request) -> permit;
    void advance(instant now);
    void end_expired(instant now);
    void find_overdue(instant now);
    void set_until(lease_id lease, entry& held, instant until);
    void end(entries::iterator held, permit_end why);
    void end_unused(permit_end why);
    void remove(entries::iterator held);
    void handle_cold_sign(instant now);
    void count_first_token(instant now, first_token_verdict verdict);
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
    std::optional<instant> last_capacity_refusal_;
    std::optional<instant> last_size_refusal_;
    instant refusal_window_;
    std::uint64_t refusals_in_window_ = 0;
    std::uint64_t refusals_before_ = 0;
    bool draining_ = false;
};

} // namespace dragonflymill
