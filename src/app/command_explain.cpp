#include "app/command_explain.h"

#include "app/option_set.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::app {

namespace json = boost::json;

namespace {

/// A log line about the request, shortened for output.
struct explained_line
{
    std::string time;
    std::string text;
};

auto string_field(const json::object& object, std::string_view name) -> std::string
{
    const json::value* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

/// Shortens a JSON log line whose `request` field equals `request`; `nullopt` for any other line. Text before
/// the JSON object, such as a log collector's prefix, is skipped.
auto explain_line(std::string_view line, const std::string& request) -> std::optional<explained_line>
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos || line.find(request) == std::string_view::npos) {
        return std::nullopt;
    }
    json::error_code failed;
    const json::value value = json::parse(line.substr(begin), failed);
    if (failed || !value.is_object()) {
        return std::nullopt;
    }
    const json::object& object = value.get_object();
    const json::value* fields = object.if_contains("fields");
    if (fields == nullptr || !fields->is_object() ||
        string_field(fields->get_object(), "request") != request) {
        return std::nullopt;
    }
    std::string text = string_field(object, "process") + " " + string_field(object, "name") + ":";
    for (const auto& field : fields->get_object()) {
        if (field.key() != "request") {
            text.append(" ").append(field.key()).append("=").append(json::serialize(field.value()));
        }
    }
    return explained_line{string_field(object, "time"), text};
}

} // namespace

auto run_explain(const arguments& words, command_io& io) -> exit_code
{
    std::vector<std::string> request_and_logs;
    option_set options("dragonflymill explain REQUEST LOG...",
                       "Prints what all processes decided about one request, in order of time.");
    options.positional("REQUEST LOG", request_and_logs, 2, 1024);
    options.example("dragonflymill explain 7f9f08844e68825a front-*.log", "from a request's id to its cause");
    if (const auto done = options.parse(words, io)) {
        return *done;
    }
    std::vector<explained_line> lines;
    for (std::size_t i = 1; i < request_and_logs.size(); ++i) {
        std::ifstream file(request_and_logs[i]);
        if (!file) {
            io.err << request_and_logs[i] << " can't be read; check its name\n";
            return exit_code::unreachable;
        }
        for (std::string line; std::getline(file, line);) {
            if (auto found = explain_line(line, request_and_logs.front())) {
                lines.push_back(std::move(*found));
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const explained_line& a, const explained_line& b) { return a.time < b.time; });
    for (const explained_line& line : lines) {
        io.out << line.time << ' ' << line.text << '\n';
    }
    if (lines.empty()) {
        io.err << "no line about " << request_and_logs.front()
               << "; look at the logs of all gateways of that time\n";
        return exit_code::failure;
    }
    return exit_code::success;
}

} // namespace dragonflymill::app
