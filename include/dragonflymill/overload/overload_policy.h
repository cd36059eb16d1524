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

/// How urgent a request is, by its route and account.
enum class work_priority
{
    urgent,    ///< Somebody waits for it.
    normal,    ///< Somebody will want it soon.
    overnight, ///< It may be paused, as long as it ends in its limit.
};

/// Number of priorities.
inline constexpr std::size_t work_priority_count = 3;

/// Index of a priority, for arrays that have an element for each.
[[nodiscard]] constexpr auto index_of(work_priority value) -> std::size_t
{
    return static_cast<std::size_t>(value);
}

/// A request as overload decisions see it.
struct offered_work
{
    request_id request;                                 ///< The request.
    client_account_id account;                          ///< Whose it is.
    work_priority priority = work_priority::normal;     ///< How urgent it is.
    length_class size = length_class::interactive;      ///< Its class.
    duration cost{0};                                   ///< Predicted time of an engine.
    deadline_budget limit{instant{}, duration::zero()}; ///< Its time limit.

    friend auto operator==(const offered_work&, const offered_work&) -> bool = default;
};

/// A request that was admitted and has not ended.
struct running_work
{
    offered_work work;     ///< The request.
    duration cost_left{0}; ///< The part of its cost that is still to come.

    friend auto operator==(const running_work&, const running_work&) -> bool = default;
};

/// How loaded the upstreams are: the time in which they would work off what is queued now, and its bound.
struct load_signal
{
    duration drain_time{0}; ///< Queued work over the rate of the upstreams.
    duration bound{0};      ///< Up to this nothing is shed.

    /// The part of the work by which the bound is exceeded; 0 if it is kept.
    [[nodiscard]] auto excess() const -> double
    {
        if (drain_time <= bound || drain_time <= duration::zero()) {
            return 0.0;
        }
        return static_cast<double>((drain_time - bound).count()) / static_cast<double>(drain_time.count());
    }

    friend auto operator==(const load_signal&, const load_signal&) -> bool = default;
};

/// The request may go on to routing.
struct admit_work
{
    friend auto operator==(const admit_work&, const admit_work&) -> bool = default;
};

/// What becomes of an offered request.
using admission = std::variant<admit_work, refusal>;

/// A way to choose what is refused, and what is paused, while there is more work than the upstreams can do.
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

/// The truthful answer to a request that is refused before anything was sent for it.
[[nodiscard]] auto refuse_overloaded(const load_signal& load) -> refusal;

/// Whether work may be paused now and still end in its limit, with its cost again to spare.
[[nodiscard]] auto may_pause(instant now, const running_work& running) -> bool;

} // namespace dragonflymill
