#include "timeline/timeline_recorder.h"

#include "timeline/timeline_file.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace dragonflymill {

namespace {

auto temporary_file() -> std::string
{
    std::string name = (std::filesystem::temp_directory_path() / "dragonflymill-timeline-XXXXXX").string();
    const int descriptor = mkstemp(name.data());
    cr_assert(descriptor >= 0);
    close(descriptor);
    return name;
}

} // namespace

Test(timeline_recorder, writes_events_of_all_threads)
{
    const std::string file = temporary_file();
    {
        auto started = timeline_recorder::start(process_id("gw"), file, 4096);
        cr_assert(started.has_value());
        auto& recorder = started.value();
        std::thread other([&recorder] {
            for (int i = 0; i < 500; ++i) {
                recorder.record_receive(request_id("r2"), "received", "r2/1/open");
            }
        });
        for (int i = 0; i < 500; ++i) {
            recorder.record(request_id("r1"), "accepted", "class=bulk");
        }
        other.join();
        cr_assert(recorder.dropped() == 0);
    }
    const auto reading = read_timeline_files({file}).value();
    cr_assert(reading.events.size() == 1000);
    cr_assert(reading.bad_lines == 0);
    std::filesystem::remove(file);
}

Test(timeline_recorder, full_ring_drops_events_and_records_the_count)
{
    const std::string file = temporary_file();
    std::uint64_t dropped = 0;
    {
        auto recorder = timeline_recorder::start(process_id("gw"), file, 64).value();
        for (int i = 0; i < 200'000 && recorder.dropped() == 0; ++i) {
            recorder.record(request_id("r"), "accepted", std::string(2000, 'x'));
        }
        dropped = recorder.dropped();
    }
    cr_assert(dropped > 0, "the sender must outpace the writer");
    const auto reading = read_timeline_files({file}).value();
    cr_assert(reading.events.back().step == "timeline_dropped");
    std::filesystem::remove(file);
}

Test(timeline_recorder, records_nothing_without_a_file)
{
    auto recorder = timeline_recorder::start(process_id("gw"), "", 64).value();
    recorder.record(request_id("r"), "accepted");
    cr_assert(!recorder.enabled());
    cr_assert(recorder.dropped() == 0);
    cr_assert(timeline_recorder::start(process_id("gw"), "/nonexistent/x", 64).has_error());
}

} // namespace dragonflymill
