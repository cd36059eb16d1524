#include "timeline/timeline_file.h"

#include <fstream>

namespace dragonflymill {

void read_timeline(std::istream& in, timeline_reading& reading)
{
    for (std::string line; std::getline(in, line);) {
        if (reading.events.size() >= most_timeline_events) {
            ++reading.left_out;
            continue;
        }
        auto event = parse_timeline_line(line);
        if (event.has_error()) {
            ++reading.bad_lines;
            continue;
        }
        reading.events.push_back(std::move(event).value());
    }
}

auto read_timeline_files(const std::vector<std::string>& files) -> result<timeline_reading>
{
    timeline_reading reading;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) {
            return error(error_kind::not_found, "the timeline file '" + file + "' can't be opened",
                         "check its path; it is set by [timeline] file in the settings");
        }
        read_timeline(in, reading);
    }
    return reading;
}

} // namespace dragonflymill
