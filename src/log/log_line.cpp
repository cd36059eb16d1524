#include "log/log_line.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ctime>

namespace dragonflymill {

namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

/// ISO 8601 in UTC with microseconds.
auto utc_text(wall_instant at) -> std::string
{
    const std::int64_t since_epoch = at.time_since_epoch().count();
    const std::time_t seconds = since_epoch / microseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> day{};
    std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06dZ", day.data(),
                  static_cast<int>(since_epoch % microseconds_per_second));
    return text.data();
}

auto json_value(const log_value& value) -> boost::json::value
{
    return std::visit([](const auto& v) { return boost::json::value(v); }, value);
}

/// Formats a value for the text format. Strings with other than plain characters are quoted and escaped,
/// which prevents client input from forging fields or log lines.
auto text_value(const log_value& value) -> std::string
{
    const auto* const text = std::get_if<std::string>(&value);
    if (text == nullptr) {
        return boost::json::serialize(json_value(value));
    }
    for (const char c : *text) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                           c == '-' || c == '_' || c == '.' || c == ':' || c == '/';
        if (!plain) {
            return boost::json::serialize(json_value(value));
        }
    }
    return text->empty() ? "\"\"" : *text;
}

auto json_line(const log_record& record, const event_entry& entry, const std::string& process) -> std::string
{
    boost::json::object line;
    line["time"] = utc_text(record.at);
    line["level"] = to_string(entry.level);
    line["event"] = entry.number();
    line["name"] = entry.name;
    line["process"] = process;
    line["text"] = entry.text;
    if (entry.remedy[0] != '\0') {
        line["remedy"] = entry.remedy;
    }
    boost::json::object fields;
    for (const log_field& f : record.fields) {
        fields[f.name] = json_value(f.value);
    }
    line["fields"] = std::move(fields);
    return boost::json::serialize(line);
}

auto text_line(const log_record& record, const event_entry& entry, const std::string& process) -> std::string
{
    std::string line = utc_text(record.at) + ' ' + to_string(entry.level) + ' ' +
                       std::to_string(entry.number()) + ' ' + entry.name + ' ' + process + ": " + entry.text;
    for (const log_field& f : record.fields) {
        line += ' ';
        line += f.name;
        line += '=';
        line += text_value(f.value);
    }
    if (entry.remedy[0] != '\0') {
        line += " (";
        line += entry.remedy;
        line += ')';
    }
    return line;
}

} // namespace

auto log_line(const log_record& record, const std::string& process, log_format format) -> std::string
{
    const event_entry& entry = entry_of(record.id);
    return format == log_format::json ? json_line(record, entry, process) : text_line(record, entry, process);
}

} // namespace dragonflymill
