#include "timeline/timeline_file.h"
#include "timeline/timeline_merge.h"
#include "timeline/timeline_picture.h"
#include "timeline/trace_events.h"

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <sstream>

namespace dragonflymill {

namespace {

auto step(const char* process, duration at, const char* request, const char* name) -> timeline_event
{
    return {process_id(process), instant(at), wall_instant(at), request_id(request), name, "", "",
            message_end::none};
}

auto message(timeline_event event, const char* name, message_end end) -> timeline_event
{
    event.message = name;
    event.end = end;
    return event;
}

/// Events of a gateway and of a sidecar whose clock is 5 s ahead, with two concurrent requests.
auto two_process_events() -> std::vector<timeline_event>
{
    return {
        step("gw", 10ms, "r1", "accepted"),
        message(step("gw", 11ms, "r1", "sent"), "r1/1/open", message_end::send),
        message(step("sc", 5012ms, "r1", "received"), "r1/1/open", message_end::receive),
        message(step("sc", 5020ms, "r1", "answered"), "r1/1/answer", message_end::send),
        message(step("gw", 21ms, "r1", "delivered"), "r1/1/answer", message_end::receive),
        step("gw", 12ms, "r2", "accepted"),
        step("gw", 13ms, "r2", "refused"),
        step("sc", 5000ms, "", "started"),
    };
}

auto parse_trace(const merged_timeline& merged) -> boost::json::array
{
    std::ostringstream out;
    write_trace_events(merged, out);
    return boost::json::parse(out.str()).as_object().at("traceEvents").as_array();
}

} // namespace

Test(timeline_merge, orders_steps_of_two_hosts_by_true_time)
{
    const auto merged = merge_timelines(two_process_events());
    cr_assert(merged.clocks.size() == 2);
    cr_assert(merged.spans.size() == 3);
    cr_assert(merged.messages.size() == 2);
    for (const message_arrow& arrow : merged.messages) {
        const auto sent = merged.spans[arrow.from.span].steps[arrow.from.step].at;
        const auto received = merged.spans[arrow.to.span].steps[arrow.to.step].at;
        cr_assert(received - sent == 1ms);
    }
    cr_assert(merged.process_events.size() == 1);
    cr_assert(merged.process_events[0].at == 0ms, "the start of the sidecar must be the first event");
}

Test(timeline_merge, concurrent_requests_have_separate_rows)
{
    const auto merged = merge_timelines(two_process_events());
    const std::size_t gateway = merged.process_index(process_id("gw"));
    std::vector<std::size_t> rows;
    for (const request_span& span : merged.spans) {
        if (span.process == gateway) {
            rows.push_back(span.row);
        }
    }
    cr_assert(rows == std::vector<std::size_t>({0, 1}));
}

Test(timeline_merge, output_is_deterministic)
{
    auto events = two_process_events();
    std::ostringstream first;
    write_trace_events(merge_timelines(events), first);
    std::ostringstream second;
    write_trace_events(merge_timelines(events), second);
    cr_assert(first.str() == second.str());
}

Test(trace_events, writes_every_slice_and_both_ends_of_each_message)
{
    int slices = 0;
    int starts = 0;
    int finishes = 0;
    for (const auto& value : parse_trace(merge_timelines(two_process_events()))) {
        const auto& phase = value.as_object().at("ph").as_string();
        slices += phase == "X" ? 1 : 0;
        starts += phase == "s" ? 1 : 0;
        finishes += phase == "f" ? 1 : 0;
    }
    cr_assert(slices == 3 + 7, "expected three request spans and seven steps");
    cr_assert(starts == 2 && finishes == 2);
}

Test(timeline_picture, escapes_client_text)
{
    auto events = two_process_events();
    events[0].request = request_id("</title><script>alert(1)</script>");
    std::ostringstream page;
    write_timeline_picture(merge_timelines(events), page);
    cr_assert(page.str().find("<script>") == std::string::npos);
    cr_assert(page.str().find("&lt;script&gt;") != std::string::npos);
    cr_assert(page.str().find(">gw</text>") != std::string::npos);
}

Test(timeline_picture, page_size_is_bounded)
{
    std::vector<timeline_event> events;
    events.reserve(60'000);
    for (int i = 0; i < 60'000; ++i) {
        events.push_back(step("gw", duration(i), ("r" + std::to_string(i)).c_str(), "accepted"));
    }
    std::ostringstream page;
    write_timeline_picture(merge_timelines(std::move(events)), page);
    cr_assert(page.str().find("20000 steps and messages are not drawn") != std::string::npos);
}

Test(timeline_file, counts_a_truncated_line_and_reads_the_rest)
{
    std::string text;
    for (const auto& event : two_process_events()) {
        text += to_json_line(event) + '\n';
    }
    std::istringstream in(text + text.substr(0, 20));
    timeline_reading reading;
    read_timeline(in, reading);
    cr_assert(reading.events == two_process_events());
    cr_assert(reading.bad_lines == 1);
    cr_assert(read_timeline_files({"/nonexistent/t.jsonl"}).has_error());
}

} // namespace dragonflymill
