#pragma once

#include "dragonflymill/core/deadline_budget.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/refusal.h"

#include <array>
#include <concepts>
#include <span>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Priority of a request, from its route and account.
enum class work_priority
{
    urgent,    ///< A person waits for the answer.
    normal,    ///< The answer is needed soon.
    overnight, ///< May be paused, as long as it finishes within its time limit.
};

/// Number of priorities.
inline constexpr std::size_t work_priority_count = 3;

/// Returns the index of a priority, for arrays with one element for each.
[[nodiscard]] constexpr auto index_of(work_priority value) -> std::size_t
{
    return static_cast<std::size_t>(value);
}

/// The properties of a request that overload decisions use.
struct offered_work
{
    request_id request;
    client_account_id account;
    work_priority priority = work_priority::normal;
    length_class size = length_class::interactive;      ///< Length class.
    duration cost{0};                                   ///< Predicted engine time.
    deadline_budget limit{instant{}, duration::zero()}; ///< Time limit.

    friend auto operator==(const offered_work&, const offered_work&) -> bool = default;
};

/// A request that was admitted and has not ended.
struct running_work
{
    offered_work work;
    duration cost_left{0}; ///< Part of its cost that is still to come.

    friend auto operator==(const running_work&, const running_work&) -> bool = default;
};

/// Load of the upstreams: the time that they need for the work queued now, and its bound.
struct load_signal
{
    duration drain_time{0}; ///< Queued work divided by the rate of the upstreams.
    duration bound{0};      ///< Nothing is shed up to this drain time.

    /// Returns the fraction of the work that exceeds the bound, from 0 to 1.
    [[nodiscard]] auto excess() const -> double
    {
        if (drain_time <= bound || drain_time <= duration::zero()) {
            return 0.0;
        }
        return static_cast<double>((drain_time - bound).count()) / static_cast<double>(drain_time.count());
    }

    friend auto operator==(const load_signal&, const load_signal&) -> bool = default;
};

/// The request may be routed.
struct admit_work
{
    friend auto operator==(const admit_work&, const admit_work&) -> bool = default;
};

/// Decision on an offered request.
using admission = std::variant<admit_work, refusal>;

/// A policy that chooses what is refused and paused while there is more work than the upstreams can process.
template <typename P>
concept overload_policy = requires(P policy, instant now, const offered_work& work, const load_signal& load,
                                   std::span<const running_work> running, bool in_time)
{
    {
        policy.offer(now, work, load)
        } -> std::same_as<admission>;
    {
        policy.pause(now, load, running)
        } -> std::same_as<std::vector<request_id>>;
    {
        policy.ended(now, work, in_time)
        } -> std::same_as<void>;
};

/// Returns the refusal of a request for which nothing was sent; it is "not run", with a time to retry after.
[[nodiscard]] auto refuse_overloaded(const load_signal& load) -> refusal;

/// Returns whether work may be paused now and still finish within its limit, with its remaining cost again to
/// spare.
[[nodiscard]] auto may_pause(instant now, const running_work& running) -> bool;

} // namespace dragonflymill
