#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflymill {

/// A subscription to a point in time. Ordered by that time, then by creation.
class timer_id
{
public:
    timer_id() = default;
    /// Creates the subscription with number `serial` for the time `at`.
    timer_id(instant at, std::uint64_t serial)
        : at_(at)
        , serial_(serial)
    {
    }

    /// Time of expiry.
    [[nodiscard]] auto at() const -> instant { return at_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the 0 of a rewritten a < b
    friend auto operator<=>(const timer_id&, const timer_id&) -> std::strong_ordering = default;

private:
    instant at_;
    std::uint64_t serial_ = 0;
};

/// A subscription that has expired.
template <typename Key>
struct expired_timer
{
    timer_id id; ///< Id of the subscription, which has ended.
    Key key;     ///< Key passed to subscribe().

    friend auto operator==(const expired_timer&, const expired_timer&) -> bool = default;
};

/// Bounded set of timers. Reads no clock: the owner calls `advance` with the current time, at the latest at
/// `next`. Deterministic: the same calls return the same expiries in the same order.
template <typename Key>
class timer_service
{
public:
    /// `capacity` is the maximum number of subscriptions.
    explicit timer_service(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Subscribes `key` to the time `at`; a time in the past expires with the next `advance`. Fails with
    /// `limit_reached` at the capacity: the caller must then refuse its own work, because a wait without a
    /// timeout is not allowed.
    [[nodiscard]] auto subscribe(instant at, Key key) -> result<timer_id>
    {
        if (timers_.size() >= capacity_) {
            return error(error_kind::limit_reached, "all timers are in use",
                         "refuse the work that needs one, or raise the bound");
        }
        const timer_id id(at, ++last_serial_);
        timers_.emplace(id, std::move(key));
        return id;
    }

    /// Cancels a subscription; returns false if it has expired or was cancelled before.
    auto cancel(timer_id id) -> bool { return timers_.erase(id) > 0; }

    /// Removes and returns up to `max_count` subscriptions that expired by `now`, earliest first and at equal
    /// times in order of subscription. The order also holds after a pause of the process, when many expire at
    /// once: a deadline is handled before any later event.
    [[nodiscard]] auto advance(instant now, std::size_t max_count = unlimited)
        -> std::vector<expired_timer<Key>>
    {
        std::vector<expired_timer<Key>> expired;
        while (!timers_.empty() && expired.size() < max_count && timers_.begin()->first.at() <= now) {
            auto first = timers_.extract(timers_.begin());
            expired.push_back({first.key(), std::move(first.mapped())});
        }
        return expired;
    }

    /// Time of the earliest expiry; nothing without subscriptions.
    [[nodiscard]] auto next() const -> std::optional<instant>
    {
        return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first.at());
    }

    /// Current number of subscriptions.
    [[nodiscard]] auto size() const -> std::size_t { return timers_.size(); }

    /// Value of `max_count` for no limit.
    static constexpr std::size_t unlimited = static_cast<std::size_t>(-1);

private:
    std::map<timer_id, Key> timers_;
    std::uint64_t last_serial_ = 0;
    std::size_t capacity_;
};

} // namespace dragonflymill
