#pragma once

#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::test_support {

/// An event as a simple client sees it; what is missing is empty.
struct plain_event
{
    std::string id;
    std::string data;
};

/// What a simple client makes of the bytes of its connection.
struct plain_reading
{
    std::string status;              ///< Text behind the version.
    bool complete = false;           ///< Whether the response has its end.
    std::vector<plain_event> events; ///< Also what is left of one where the connection has ended.
};

/// Body of a response in chunks; sets `complete` at the last chunk.
inline auto plain_body_of_chunks(std::string_view text, bool& complete) -> std::string
{
    std::string body;
    while (true) {
        const std::size_t line_end = text.find("\r\n");
        if (line_end == std::string_view::npos) {
            return body;
        }
        const std::size_t size = std::strtoul(std::string(text.substr(0, line_end)).c_str(), nullptr, 16);
        text.remove_prefix(line_end + 2);
        complete = size == 0;
        if (complete) {
            return body;
        }
        body.append(text.substr(0, size));
        if (text.size() < size + 2) {
            return body;
        }
        text.remove_prefix(size + 2);
    }
}

/// Splits a stream at blank lines and looks only for lines that begin with `id: ` and `data: `.
inline auto plain_events(std::string_view body) -> std::vector<plain_event>
{
    std::vector<plain_event> events;
    while (!body.empty()) {
        const std::size_t end = body.find("\n\n");
        std::string_view block = body.substr(0, end);
        body.remove_prefix(end == std::string_view::npos ? body.size() : end + 2);
        plain_event event;
        while (!block.empty()) {
            const std::size_t line_end = block.find('\n');
            const std::string_view line = block.substr(0, line_end);
            block.remove_prefix(line_end == std::string_view::npos ? block.size() : line_end + 1);
            if (line.starts_with("id: ")) {
                event.id = line.substr(4);
            }
            else if (line.starts_with("data: ")) {
                event.data = line.substr(6);
            }
        }
        events.push_back(event);
    }
    return events;
}

/// Reads a response and its stream. Shares no code with the program, so that a mistake of its parsers doesn't
/// hide itself, and is as simple as clients are.
inline auto read_plainly(std::string_view received) -> plain_reading
{
    plain_reading reading;
    const std::size_t head_end = received.find("\r\n\r\n");
    if (head_end == std::string_view::npos) {
        return reading;
    }
    const std::string head(received.substr(0, head_end + 2));
    reading.status = head.substr(9, 3);
    const std::string_view rest = received.substr(head_end + 4);
    const std::string length_field = "\r\nContent-Length: ";
    const std::size_t length = head.find(length_field);
    if (length == std::string::npos) {
        reading.events = plain_events(plain_body_of_chunks(rest, reading.complete));
        return reading;
    }
    const std::size_t size = std::strtoul(head.c_str() + length + length_field.size(), nullptr, 10);
    reading.complete = rest.size() >= size;
    reading.events = plain_events(rest.substr(0, size));
    return reading;
}

} // namespace dragonflymill::test_support
