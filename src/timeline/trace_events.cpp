#include "timeline/trace_events.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

namespace dragonflymill {

namespace {

/// Minimum length of a slice; trace viewers don't display slices of length zero.
constexpr duration min_slice_duration{1};

/// Writes the elements of a JSON array, one per line.
class trace_writer
{
public:
    explicit trace_writer(std::ostream& out)
        : out_(out)
    {
    }

    void write(const boost::json::object& element)
    {
        out_ << (first_ ? "\n" : ",\n") << boost::json::serialize(element);
        first_ = false;
    }

private:
    std::ostream& out_;
    bool first_ = true;
};

auto element(const char* phase, const std::string& name, std::size_t process, std::size_t row, duration at)
    -> boost::json::object
{
    return {{"ph", phase},    {"name", name},   {"cat", "request"},
            {"pid", process}, {"tid", row + 1}, {"ts", std::int64_t{at.count()}}};
}

auto step_arguments(const timeline_event& event) -> boost::json::object
{
    boost::json::object arguments;
    arguments["request"] = event.request.text();
    arguments["detail"] = event.detail;
    arguments["mono_us"] = std::int64_t{event.at.time_since_epoch().count()};
    arguments["wall_us"] = std::int64_t{event.wall.time_since_epoch().count()};
    return arguments;
}

auto slice(const request_span& span, const std::string& name, duration begin, duration end)
    -> boost::json::object
{
    auto slice_event = element("X", name, span.process, span.row, begin);
    slice_event["dur"] = std::int64_t{std::max(end - begin, min_slice_duration).count()};
    return slice_event;
}

void write_span(const request_span& span, trace_writer& writer)
{
    const duration last_end = span.end() + min_slice_duration;
    writer.write(slice(span, span.steps.front().event.request.text(), span.begin(), last_end));
    for (std::size_t i = 0; i < span.steps.size(); ++i) {
        const duration end = i + 1 < span.steps.size() ? span.steps[i + 1].at : last_end;
        auto step = slice(span, span.steps[i].event.step, span.steps[i].at, end);
        step["args"] = step_arguments(span.steps[i].event);
        writer.write(step);
    }
}

void write_message(const merged_timeline& merged, const message_arrow& message, std::size_t number,
                   trace_writer& writer)
{
    const request_span& from = merged.spans[message.from.span];
    const request_span& to = merged.spans[message.to.span];
    const placed_event& sent = from.steps[message.from.step];
    auto start = element("s", "message", from.process, from.row, sent.at);
    start["id"] = number;
    writer.write(start);
    auto finish = element("f", "message", to.process, to.row, to.steps[message.to.step].at);
    finish["id"] = number;
    finish["bp"] = "e";
    writer.write(finish);
}

void write_process(const clock_offset& clock, std::size_t index, trace_writer& writer)
{
    auto name = element("M", "process_name", index, 0, duration::zero());
    name["args"] = {{"name", clock.process.text()}};
    writer.write(name);
    auto label = element("M", "process_labels", index, 0, duration::zero());
    label["args"] = {{"labels", "clock offset " + std::to_string(clock.offset.count()) + " us, " +
                                    to_string(clock.source)}};
    writer.write(label);
}

} // namespace

void write_trace_events(const merged_timeline& merged, std::ostream& out)
{
    out << "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[";
    trace_writer writer(out);
    for (std::size_t i = 0; i < merged.clocks.size(); ++i) {
        write_process(merged.clocks[i], i, writer);
    }
    for (const request_span& span : merged.spans) {
        write_span(span, writer);
    }
    for (const placed_event& event : merged.process_events) {
        auto instant_event =
            element("i", event.event.step, merged.process_index(event.event.process), 0, event.at);
        instant_event["s"] = "p";
        instant_event["args"] = step_arguments(event.event);
        writer.write(instant_event);
    }
    for (std::size_t i = 0; i < merged.messages.size(); ++i) {
        write_message(merged, merged.messages[i], i, writer);
    }
    out << "\n]}\n";
}

} // namespace dragonflymill
