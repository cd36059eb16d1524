#include "app/command_timeline.h"

#include "app/option_set.h"
#include "app/text_file.h"
#include "timeline/timeline_file.h"
#include "timeline/timeline_merge.h"
#include "timeline/timeline_picture.h"
#include "timeline/trace_events.h"

#include <sstream>

namespace dragonflymill::app {

namespace {

/// Writes the output of `render` to `path`; does nothing if `path` is empty.
template <typename Render>
auto write_if_requested(const std::string& path, Render render) -> result<void>
{
    if (path.empty()) {
        return success();
    }
    std::ostringstream text;
    render(text);
    return write_file(path, text.str());
}

void write_summary(const timeline_reading& loaded, const merged_timeline& merged, std::size_t events,
                   std::ostream& out)
{
    out << events << " events, " << merged.spans.size() << " requests at processes, "
        << merged.messages.size() << " messages, " << merged.clocks.size() << " processes\n";
    for (const clock_offset& clock : merged.clocks) {
        out << clock.process.text() << ": clock offset " << clock.offset.count() << " us, "
            << to_string(clock.source);
        if (clock.source == offset_source::round_trip) {
            out << ", wrong by at most " << clock.uncertainty.count() << " us";
        }
        out << '\n';
    }
    if (loaded.bad_lines > 0) {
        out << loaded.bad_lines << " lines are no events and were left out\n";
    }
    if (loaded.left_out > 0) {
        out << loaded.left_out << " events over the bound were left out\n";
    }
}

} // namespace

auto run_timeline(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> files;
    std::string trace_path;
    std::string page_path;
    option_set options("dragonflymill timeline FILE... [--out FILE] [--picture FILE]",
                       "Merges the time lines of many processes into one, with their clocks set against each "
                       "other.");
    options.text("out", "trace-event JSON to write, for a trace viewer", trace_path);
    options.text("picture", "HTML page to write, for any browser", page_path);
    options.positional("a time line file", files, 1, 100'000);
    options.example("dragonflymill timeline gw-1.jsonl sc-*.jsonl --out trace.json --picture timeline.html",
                    "merges a gateway's time line with those of sidecars");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    auto loaded = read_timeline_files(files);
    if (loaded.has_error()) {
        return report(loaded.error(), io);
    }
    if (loaded.value().events.empty()) {
        return report(error(error_kind::invalid_input, "the files hold no events",
                            "give the files that [timeline] file names"),
                      io);
    }
    const std::size_t events = loaded.value().events.size();
    const merged_timeline merged = merge_timelines(std::move(loaded.value().events));
    const auto trace_written =
        write_if_requested(trace_path, [&](std::ostream& out) { write_trace_events(merged, out); });
    const auto page_written =
        write_if_requested(page_path, [&](std::ostream& out) { write_timeline_picture(merged, out); });
    if (trace_written.has_error() || page_written.has_error()) {
        return report(trace_written.has_error() ? trace_written.error() : page_written.error(), io);
    }
    write_summary(loaded.value(), merged, events, io.out);
    return exit_code::success;
}

} // namespace dragonflymill::app
