#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflymill::test {

/// Fault rates and delays of the simulated network of a schedule test. Random delays reorder messages.
struct message_bag_rules
{
    double drop = 0.0;                ///< Probability that a message is lost.
    double duplicate = 0.0;           ///< Probability that a message is delivered twice.
    double late = 0.0;                ///< Probability that a message is delayed by up to `late_delay`.
    duration min_delay = 100us;       ///< Shortest delay.
    duration max_delay = 2ms;         ///< Longest delay of a message that is not late.
    duration late_delay = 5s;         ///< Longest delay of a late message.
    std::size_t max_messages = 4'096; ///< Limit of messages in flight; any above it are lost.
};

/// Simulated network of a schedule test: the messages in flight between its components, on a virtual clock.
/// Deterministic for the same seed and the same calls.
template <typename Message>
class message_bag
{
public:
    /// Starts with no messages; `seed` determines faults and delays.
    message_bag(std::uint64_t seed, message_bag_rules rules)
        : random_(seed)
        , rules_(rules)
    {
    }

    /// Replaces the rules for messages sent from now on; `drop` 1.0 is a partition.
    void change(message_bag_rules rules) { rules_ = rules; }

    /// Sends a message, which may be lost, delayed or duplicated.
    void send(instant now, const Message& message)
    {
        if (random_.chance(rules_.drop)) {
            ++dropped_;
            return;
        }
        put(now, message);
        if (random_.chance(rules_.duplicate)) {
            put(now, message);
        }
    }

    /// Arrival time of the next message; nothing if none is in flight.
    [[nodiscard]] auto next_arrival() const -> std::optional<instant>
    {
        const entry* first = nullptr;
        for (const entry& candidate : entries_) {
            if (first == nullptr || before(candidate, *first)) {
                first = &candidate;
            }
        }
        return first == nullptr ? std::nullopt : std::optional(first->arrival);
    }

    /// Removes and returns the earliest message that has arrived by `now` and for which `ready(message)` is
    /// true. Messages to a paused component stay queued if `ready` rejects them.
    template <typename Ready>
    [[nodiscard]] auto take(instant now, Ready ready) -> std::optional<Message>
    {
        std::size_t found = entries_.size();
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            const bool due = entries_[i].arrival <= now && ready(entries_[i].message);
            if (due && (found == entries_.size() || before(entries_[i], entries_[found]))) {
                found = i;
            }
        }
        if (found == entries_.size()) {
            return std::nullopt;
        }
        Message message = std::move(entries_[found].message);
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(found));
        return message;
    }

    /// Removes and returns the earliest message that has arrived by `now`.
    [[nodiscard]] auto take(instant now) -> std::optional<Message>
    {
        return take(now, [](const Message&) { return true; });
    }

    /// Drops every message in flight for which `lost(message)` is true, as on a broken connection.
    template <typename Lost>
    void lose(Lost lost)
    {
        const std::size_t before_count = entries_.size();
        std::erase_if(entries_, [&](const entry& candidate) { return lost(candidate.message); });
        dropped_ += before_count - entries_.size();
    }

    /// Number of messages in flight.
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /// Number of messages lost so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }

private:
    struct entry
    {
        instant arrival;
        std::uint64_t number = 0;
        Message message;
    };

    static auto before(const entry& a, const entry& b) -> bool
    {
        return a.arrival != b.arrival ? a.arrival < b.arrival : a.number < b.number;
    }

    void put(instant now, const Message& message)
    {
        if (entries_.size() >= rules_.max_messages) {
            ++dropped_;
            return;
        }
        const bool late = random_.chance(rules_.late);
        const duration longest = late ? rules_.late_delay : rules_.max_delay;
        const auto spread = static_cast<std::uint64_t>((longest - rules_.min_delay).count());
        const duration delay = rules_.min_delay + duration(random_.below(spread + 1));
        entries_.push_back({now + delay, next_number_++, message});
    }

    random_source random_;
    message_bag_rules rules_;
    std::vector<entry> entries_;
    std::uint64_t next_number_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace dragonflymill::test
