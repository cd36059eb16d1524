#include "sidecar/attempt_timeline.h"

#include "timeline/timeline_file.h"

#include <cstdlib>
#include <filesystem>
#include <unistd.h>

// Included last: Criterion's macro `Test` conflicts with a name in other headers.
#include <criterion/criterion.h>

namespace dragonflymill::sidecar {

namespace {

auto attempt(const char* request, std::uint64_t number) -> attempt_spec
{
    attempt_spec spec;
    spec.request = request_id(request);
    spec.attempt = attempt_number(number);
    return spec;
}

/// Runs `work` with an attempt timeline and returns the recorded events.
template <typename Work>
auto record_events(Work work) -> std::vector<timeline_event>
{
    std::string file = (std::filesystem::temp_directory_path() / "dragonflymill-tries-XXXXXX").string();
    const int descriptor = mkstemp(file.data());
    cr_assert(descriptor >= 0);
    close(descriptor);
    {
        auto recorder = timeline_recorder::start(process_id("sc"), file, 4096).value();
        attempt_timeline timeline(recorder);
        work(timeline);
    }
    auto reading = read_timeline_files({file}).value();
    std::filesystem::remove(file);
    return std::move(reading.events);
}

} // namespace

Test(attempt_timeline, message_names_match_at_both_ends)
{
    const auto events = record_events([](attempt_timeline& timeline) {
        timeline.note(sidecar_event(sidecar_input::attempt_opened{call_number(1), attempt("r", 2)}));
        timeline.note(sidecar_action(sidecar_output::grant_attempt{call_number(1), lease_id(1)}));
        timeline.note(sidecar_action(sidecar_output::finish_attempt{call_number(1), 10, "stop"}));
        timeline.note(sidecar_action(sidecar_output::finish_attempt{call_number(1), 10, "stop"}));
    });
    cr_assert(events.size() == 3, "the end must be recorded once");
    cr_assert(events[0].end == message_end::receive);
    cr_assert(events[0].message == attempt_message(request_id("r"), attempt_number(2), open_message));
    cr_assert(events[1].end == message_end::send);
    cr_assert(events[1].message == attempt_message(request_id("r"), attempt_number(2), grant_message));
    cr_assert(events[2].message == attempt_message(request_id("r"), attempt_number(2), end_message));
}

Test(attempt_timeline, records_nothing_after_a_call_is_cancelled)
{
    const auto events = record_events([](attempt_timeline& timeline) {
        timeline.note(sidecar_event(sidecar_input::attempt_opened{call_number(1), attempt("r", 1)}));
        timeline.note(sidecar_event(sidecar_input::call_cancelled{call_number(1)}));
        timeline.note(sidecar_action(sidecar_output::grant_attempt{call_number(1), lease_id(1)}));
    });
    cr_assert(events.size() == 1);
}

} // namespace dragonflymill::sidecar
