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

/// A subscription to a moment; orders by that moment, then by when it was made.
class timer_id
{
public:
    timer_id() = default;
    /// The subscription with number `serial` to the moment `at`.
    timer_id(instant at, std::uint64_t serial)
        : at_(at)
        , serial_(serial)
    {
    }

    /// The moment subscribed to.
    [[nodiscard]] auto at() const -> instant { return at_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const timer_id&, const timer_id&) -> std::strong_ordering = default;

private:
    instant at_;
    std::uint64_t serial_ = 0;
};

/// A subscription whose moment has come.
template <typename Key>
struct expired_timer
{
    timer_id id; ///< The subscription; it is over.
    Key key;     ///< What the subscriber gave.

    friend auto operator==(const expired_timer&, const expired_timer&) -> bool = default;
};

/// Moments that parts wait for. Reads no clock: whoever owns it calls `advance` with the time, at the latest
/// at `next`. The same calls give the same expiries in the same order.
template <typename Key>
class timer_service
{
public:
    /// Holds at most `capacity` subscriptions.
    explicit timer_service(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// Subscribes `key` to the moment `at`; a moment already past expires with the next `advance`. At the
    /// bound it is refused: the caller must refuse its own work, since a wait without an end is not allowed.
    [[nodiscard]] auto subscribe(instant at, Key key) -> result<timer_id>
    {
        if (waiting_.size() >= capacity_) {
            return error(error_kind::limit_reached, "all timers are in use",
                         "refuse the work that needs one, or raise the bound");
        }
        const timer_id id(at, ++last_serial_);
        waiting_.emplace(id, std::move(key));
        return id;
    }

    /// Ends a subscription; false if it expired or was cancelled before.
    auto cancel(timer_id id) -> bool { return waiting_.erase(id) > 0; }

    /// Takes out all that expired by `now`, at most `most` of them, earliest first and among equals in order
    /// of subscription. After a pause of the process many come at once, still in order, so that a part sees
    /// a deadline before any later event.
    [[nodiscard]] auto advance(instant now, std::size_t most = all) -> std::vector<expired_timer<Key>>
    {
        std::vector<expired_timer<Key>> expired;
        while (!waiting_.empty() && expired.size() < most && waiting_.begin()->first.at() <= now) {
            auto first = waiting_.extract(waiting_.begin());
            expired.push_back({first.key(), std::move(first.mapped())});
        }
        return expired;
    }

    /// The earliest moment subscribed to; nothing without subscriptions.
    [[nodiscard]] auto next() const -> std::optional<instant>
    {
        return waiting_.empty() ? std::nullopt : std::optional(waiting_.begin()->first.at());
    }

    /// Subscriptions now.
    [[nodiscard]] auto size() const -> std::size_t { return waiting_.size(); }

    /// No bound on how many expire in one `advance`.
    static constexpr std::size_t all = static_cast<std::size_t>(-1);

private:
    std::map<timer_id, Key> waiting_;
    std::uint64_t last_serial_ = 0;
    std::size_t capacity_;
};

} // namespace dragonflymill
