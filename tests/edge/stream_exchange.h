#pragma once

#include "gateway_fixture.h"
#include "http/response_parser.h"

#include <cstdio>
#include <string>

namespace dragonflymill::edge {

/// Head of an event stream with neither a length nor chunks.
constexpr const char* stream_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n\r\n";
/// Head of an event stream in chunks.
constexpr const char* chunked_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
/// Number of events in a valid stream.
constexpr int event_count = 3;

/// Events of a valid stream, both ends included.
inline auto events(int first, int last) -> std::string
{
    std::string all;
    for (int id = first; id <= last; ++id) {
        all += "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
    }
    return all;
}

inline auto chunk(const std::string& bytes) -> std::string
{
    std::array<char, 24> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

/// Last-Event-Id of a request; 0 if it has none.
inline auto resumed_after(const taken_connection& connection) -> int
{
    const std::string name = "Last-Event-Id: ";
    const auto at = connection.received.find(name);
    return at == std::string::npos ? 0 : std::stoi(connection.received.substr(at + name.size()));
}

/// What a caller has received as its response.
struct received_stream
{
    bool complete = false; ///< With status 200 and its end.
    std::string body;      ///< Empty for a complete failure.
};

/// Sends a request whose first response starts with `first_response` and then ends with its connection.
/// Later ones are valid streams that resume after the request's Last-Event-Id.
inline auto stream_after(const std::string& first_response, const std::string& path,
                         const std::string& fields = "") -> received_stream
{
    gateway_fixture fixture;
    fixture.seal_field = "Seal";
    int attempts = 0;
    const auto answer = [&](taken_connection& connection) {
        connection.send(++attempts == 1 ? first_response
                                        : stream_head + events(resumed_after(connection) + 1, event_count));
        connection.close();
    };
    fixture.add_upstream("engines", answer);
    fixture.add_upstream("engines", answer);
    fixture.start();
    fixture.send("POST", path, "Tokens: 100,10\r\n" + fields, "hello");
    received_stream received;
    fixture.run_until([&] {
        http::response_parser parser(false);
        received.body.clear();
        const bool complete = parser.take(fixture.received, received.body) == http::response_state::complete;
        received.complete = complete && parser.head().status == 200;
        if (complete && !received.complete) {
            received.body.clear();
        }
        return complete || fixture.caller_ended;
    });
    return received;
}

/// Checks that the caller gets the whole valid stream once, on a route that resumes streams.
inline void check_resumed(const std::string& first_response)
{
    const received_stream received = stream_after(first_response, "/chat/1");
    cr_assert(received.complete && received.body == events(1, event_count), "after %s: %s",
              first_response.c_str(), received.body.c_str());
}

/// Checks that the caller gets no complete stream and no byte of another one, on a route that doesn't resume.
inline void check_ended(const std::string& first_response)
{
    const received_stream received = stream_after(first_response, "/tell/1");
    cr_assert(!received.complete, "after %s: %s", first_response.c_str(), received.body.c_str());
    cr_assert(events(1, event_count).starts_with(received.body), "after %s: %s", first_response.c_str(),
              received.body.c_str());
}

} // namespace dragonflymill::edge
