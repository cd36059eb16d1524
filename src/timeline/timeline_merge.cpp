#include "timeline/timeline_merge.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace dragonflymill {

namespace {

/// For each row of each process, the end of the last span on it.
using row_ends = std::vector<std::vector<duration>>;

auto align_events(std::vector<timeline_event> events, const merged_timeline& merged)
    -> std::vector<placed_event>
{
    std::vector<placed_event> aligned;
    aligned.reserve(events.size());
    for (timeline_event& event : events) {
        const clock_offset& clock = merged.clocks[merged.process_index(event.process)];
        aligned.push_back({event.at.time_since_epoch() + clock.offset, std::move(event)});
    }
    std::stable_sort(aligned.begin(), aligned.end(),
                     [](const placed_event& a, const placed_event& b) { return a.at < b.at; });
    const duration first = aligned.empty() ? duration::zero() : aligned.front().at;
    for (placed_event& event : aligned) {
        event.at -= first;
    }
    return aligned;
}

void add_spans(std::vector<placed_event> aligned, merged_timeline& merged)
{
    std::map<std::pair<std::size_t, request_id>, std::size_t> known;
    for (placed_event& event : aligned) {
        if (event.event.request.empty()) {
            merged.process_events.push_back(std::move(event));
            continue;
        }
        const std::size_t process = merged.process_index(event.event.process);
        const auto added = known.try_emplace({process, event.event.request}, merged.spans.size());
        if (added.second) {
            merged.spans.push_back({process, 0, {}});
        }
        merged.spans[added.first->second].steps.push_back(std::move(event));
    }
}

void assign_rows(merged_timeline& merged)
{
    row_ends ends(merged.clocks.size());
    for (request_span& span : merged.spans) {
        auto& rows = ends[span.process];
        const auto free_row =
            std::find_if(rows.begin(), rows.end(), [&](duration end) { return end < span.begin(); });
        span.row = static_cast<std::size_t>(free_row - rows.begin());
        if (free_row == rows.end()) {
            rows.push_back(span.end());
            continue;
        }
        *free_row = span.end();
    }
}

/// Positions of both ends of a message.
struct message_endpoints
{
    std::optional<span_place> from;
    std::optional<span_place> to;
};

void add_messages(merged_timeline& merged)
{
    std::unordered_map<std::string, message_endpoints> endpoints;
    for (std::size_t s = 0; s < merged.spans.size(); ++s) {
        const auto& steps = merged.spans[s].steps;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (steps[i].event.end == message_end::none) {
                continue;
            }
            message_endpoints& message = endpoints[steps[i].event.message];
            auto& slot = steps[i].event.end == message_end::send ? message.from : message.to;
            if (!slot) {
                slot = span_place{s, i};
            }
        }
    }
    for (const auto& [name, message] : endpoints) {
        if (message.from && message.to) {
            merged.messages.push_back({*message.from, *message.to});
        }
    }
    std::sort(merged.messages.begin(), merged.messages.end(),
              [](const message_arrow& a, const message_arrow& b) {
                  return std::pair(a.from.span, a.from.step) < std::pair(b.from.span, b.from.step);
              });
}

} // namespace

auto merged_timeline::process_index(const process_id& process) const -> std::size_t
{
    const auto found =
        std::lower_bound(clocks.begin(), clocks.end(), process,
                         [](const clock_offset& clock, const process_id& p) { return clock.process < p; });
    return static_cast<std::size_t>(found - clocks.begin());
}

auto merge_timelines(std::vector<timeline_event> events) -> merged_timeline
{
    merged_timeline merged;
    merged.clocks = estimate_clock_offsets(events);
    add_spans(align_events(std::move(events), merged), merged);
    assign_rows(merged);
    add_messages(merged);
    return merged;
}

} // namespace dragonflymill
