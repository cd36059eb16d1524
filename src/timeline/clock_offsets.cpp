#include "timeline/clock_offsets.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace dragonflymill {

namespace {

constexpr duration unknown_uncertainty = duration::max();
/// Uncertainty assigned to links with messages in one direction only: so large that they are used only if no
/// path of round trips exists.
constexpr duration one_way_uncertainty = std::chrono::hours(1);

/// Minimum apparent message delay per pair (sender, receiver): real delay plus clock difference.
using minimum_delays = std::map<std::pair<std::size_t, std::size_t>, duration>;

/// Relation between the clocks of two processes.
struct clock_link
{
    duration offset;      ///< Offset of the second clock relative to the first.
    duration uncertainty; ///< Maximum error of `offset`.
    bool one_way;         ///< Whether messages exist in one direction only.
};

/// Send and receive events of one message.
struct message_ends
{
    const timeline_event* sent = nullptr;
    const timeline_event* received = nullptr;
    bool repeated = false;
};

auto record_end(message_ends& ends, const timeline_event& event)
{
    const timeline_event*& slot = event.end == message_end::send ? ends.sent : ends.received;
    // Which copy of a repeated message was received is unknown, so its timestamps are unusable.
    ends.repeated = ends.repeated || slot != nullptr;
    slot = &event;
}

/// Computes the clock offsets for one set of events.
class offset_estimate
{
public:
    explicit offset_estimate(std::span<const timeline_event> events)
        : events_(events)
    {
        std::set<process_id> names;
        for (const timeline_event& event : events) {
            names.insert(event.process);
        }
        processes_.assign(names.begin(), names.end());
    }

    auto run() && -> std::vector<clock_offset>
    {
        find_minimum_delays();
        offsets_.reserve(processes_.size());
        for (const process_id& process : processes_) {
            offsets_.push_back({process, duration::zero(), unknown_uncertainty, offset_source::wall_clock});
        }
        if (offsets_.empty()) {
            return {};
        }
        const std::size_t reference = most_linked_process();
        offsets_[reference].uncertainty = duration::zero();
        offsets_[reference].source = offset_source::reference;
        propagate_offsets();
        set_unlinked_offsets(reference);
        return std::move(offsets_);
    }

private:
    [[nodiscard]] auto index_of(const process_id& process) const -> std::size_t
    {
        const auto found = std::lower_bound(processes_.begin(), processes_.end(), process);
        return static_cast<std::size_t>(found - processes_.begin());
    }

    void find_minimum_delays()
    {
        std::unordered_map<std::string, message_ends> messages;
        for (const timeline_event& event : events_) {
            if (event.end != message_end::none) {
                record_end(messages[event.message], event);
            }
        }
        for (const auto& [name, ends] : messages) {
            if (ends.sent == nullptr || ends.received == nullptr || ends.repeated) {
                continue;
            }
            const std::pair link(index_of(ends.sent->process), index_of(ends.received->process));
            const duration delay = ends.received->at - ends.sent->at;
            const auto added = minimum_delays_.try_emplace(link, delay);
            added.first->second = std::min(added.first->second, delay);
        }
    }

    [[nodiscard]] auto link(std::size_t from, std::size_t to) const -> std::optional<clock_link>
    {
        const auto forward = minimum_delays_.find({from, to});
        const auto backward = minimum_delays_.find({to, from});
        if (forward != minimum_delays_.end() && backward != minimum_delays_.end()) {
            const duration offset = (backward->second - forward->second) / 2;
            const duration uncertainty = (forward->second + backward->second) / 2;
            // A negative value would mean that a message arrived before it was sent, which clock drift can
            // cause.
            return clock_link{offset, std::max(uncertainty, duration(1)), false};
        }
        if (forward != minimum_delays_.end()) {
            return clock_link{-forward->second, one_way_uncertainty, true};
        }
        if (backward != minimum_delays_.end()) {
            return clock_link{backward->second, one_way_uncertainty, true};
        }
        return std::nullopt;
    }

    [[nodiscard]] auto most_linked_process() const -> std::size_t
    {
        std::vector<std::size_t> links(processes_.size());
        for (const auto& [ends, delay] : minimum_delays_) {
            ++links[ends.first];
            ++links[ends.second];
        }
        return static_cast<std::size_t>(std::max_element(links.begin(), links.end()) - links.begin());
    }

    /// Sets the offsets of all processes linked to the reference, with shortest paths by uncertainty
    /// (Dijkstra).
    void propagate_offsets()
    {
        std::vector<bool> visited(processes_.size());
        while (true) {
            const std::size_t from = least_uncertain(visited);
            if (from == processes_.size()) {
                return;
            }
            visited[from] = true;
            for (std::size_t to = 0; to < processes_.size(); ++to) {
                if (!visited[to]) {
                    apply_link(from, to);
                }
            }
        }
    }

    [[nodiscard]] auto least_uncertain(const std::vector<bool>& visited) const -> std::size_t
    {
        std::size_t best = processes_.size();
        duration least = unknown_uncertainty;
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            if (!visited[i] && offsets_[i].uncertainty < least) {
                best = i;
                least = offsets_[i].uncertainty;
            }
        }
        return best;
    }

    void apply_link(std::size_t from, std::size_t to)
    {
        const auto found = link(from, to);
        if (!found) {
            return;
        }
        const clock_offset& base = offsets_[from];
        const duration uncertainty = base.uncertainty + found->uncertainty;
        if (uncertainty < offsets_[to].uncertainty) {
            const bool one_way = found->one_way || base.source == offset_source::one_way;
            offsets_[to].offset = base.offset + found->offset;
            offsets_[to].uncertainty = uncertainty;
            offsets_[to].source = one_way ? offset_source::one_way : offset_source::round_trip;
        }
    }

    /// Difference of civil and monotonic time of a process at its first event.
    [[nodiscard]] auto wall_clock_difference(std::size_t process) const -> duration
    {
        const auto first = std::find_if(events_.begin(), events_.end(), [&](const timeline_event& event) {
            return event.process == processes_[process];
        });
        return first->wall.time_since_epoch() - first->at.time_since_epoch();
    }

    void set_unlinked_offsets(std::size_t reference)
    {
        const duration base = wall_clock_difference(reference);
        for (std::size_t i = 0; i < offsets_.size(); ++i) {
            clock_offset& clock = offsets_[i];
            if (clock.uncertainty == unknown_uncertainty) {
                clock.offset = wall_clock_difference(i) - base;
            }
            if (clock.source == offset_source::one_way || clock.source == offset_source::wall_clock) {
                clock.uncertainty = duration::zero();
            }
        }
    }

    std::span<const timeline_event> events_;
    std::vector<process_id> processes_;
    minimum_delays minimum_delays_;
    std::vector<clock_offset> offsets_;
};

} // namespace

auto to_string(offset_source source) -> const char*
{
    switch (source) {
    case offset_source::reference:
        return "reference";
    case offset_source::round_trip:
        return "messages both ways";
    case offset_source::one_way:
        return "messages one way, uncertainty not known";
    case offset_source::wall_clock:
        return "civil clock, uncertainty not known";
    }
    return "";
}

auto estimate_clock_offsets(std::span<const timeline_event> events) -> std::vector<clock_offset>
{
    return offset_estimate(events).run();
}

} // namespace dragonflymill
