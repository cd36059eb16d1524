#include "timeline/timeline_event.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace dragonflymill {

namespace {

auto invalid_line(std::string why) -> error
{
    return {error_kind::corrupt, "the line is not a timeline event: " + std::move(why),
            "pass the files that [timeline] file names; the last line of a process that crashed may be "
            "truncated"};
}

auto string_field(const boost::json::object& line, std::string_view key) -> std::string
{
    const auto* const value = line.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

auto duration_field(const boost::json::object& line, std::string_view key) -> result<duration>
{
    const auto* const value = line.if_contains(key);
    if (value == nullptr || !value->is_int64()) {
        return invalid_line("'" + std::string(key) + "' is missing");
    }
    return duration(value->get_int64());
}

} // namespace

auto attempt_message(const request_id& request, attempt_number attempt, std::string_view what) -> std::string
{
    return request.text() + '/' + std::to_string(attempt.value()) + '/' + std::string(what);
}

auto to_json_line(const timeline_event& event) -> std::string
{
    boost::json::object line;
    line["process"] = event.process.text();
    line["mono_us"] = std::int64_t{event.at.time_since_epoch().count()};
    line["wall_us"] = std::int64_t{event.wall.time_since_epoch().count()};
    line["step"] = event.step;
    if (!event.request.empty()) {
        line["request"] = event.request.text();
    }
    if (!event.detail.empty()) {
        line["detail"] = event.detail;
    }
    if (event.end != message_end::none) {
        line[event.end == message_end::send ? "sent" : "received"] = event.message;
    }
    return boost::json::serialize(line);
}

auto parse_timeline_line(std::string_view line) -> result<timeline_event>
{
    boost::system::error_code failed;
    const auto parsed = boost::json::parse({line.data(), line.size()}, failed);
    if (failed || !parsed.is_object()) {
        return invalid_line("it is not a JSON object");
    }
    const auto& object = parsed.get_object();
    const auto at = duration_field(object, "mono_us");
    const auto wall = duration_field(object, "wall_us");
    if (!at || !wall) {
        return at ? wall.error() : at.error();
    }
    timeline_event event{process_id(string_field(object, "process")),
                         instant(at.value()),
                         wall_instant(wall.value()),
                         request_id(string_field(object, "request")),
                         string_field(object, "step"),
                         string_field(object, "detail"),
                         string_field(object, "sent"),
                         message_end::none};
    if (event.process.empty() || event.step.empty()) {
        return invalid_line("it has no process or no step");
    }
    if (!event.message.empty()) {
        event.end = message_end::send;
        return event;
    }
    event.message = string_field(object, "received");
    event.end = event.message.empty() ? message_end::none : message_end::receive;
    return event;
}

} // namespace dragonflymill
