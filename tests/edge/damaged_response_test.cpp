#include "stream_exchange.h"
#include "support/plain_stream_reader.h"

#include <functional>

using namespace dragonflymill;
using namespace dragonflymill::edge;
using test_support::plain_event;
using test_support::plain_reading;
using test_support::read_plainly;

namespace {

/// Changes a text at one byte.
using damage = std::function<std::string(std::string, std::size_t)>;

auto lose(std::string text, std::size_t at) -> std::string
{
    return text.erase(at, 1);
}

auto repeat(std::string text, std::size_t at) -> std::string
{
    return text.insert(at, 1, text[at]);
}

auto replace_by(char other) -> damage
{
    return [other](std::string text, std::size_t at) {
        text[at] = other;
        return text;
    };
}

auto insert_blank_line(std::string text, std::size_t at) -> std::string
{
    return text.insert(at, "\n\n");
}

auto with_length(const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends a request whose first response is `first`; later ones are valid streams that resume after the
/// request's Last-Event-Id. Returns all bytes that the caller receives.
auto received_after(const std::string& first, const std::string& path) -> std::string
{
    gateway_fixture fixture;
    fixture.seal_field = "Seal";
    int attempts = 0;
    const auto answer = [&](taken_connection& connection) {
        connection.send(++attempts == 1 ? first
                                        : with_length(events(resumed_after(connection) + 1, event_count)));
        connection.close();
    };
    fixture.add_upstream("engines", answer);
    fixture.add_upstream("engines", answer);
    fixture.start();
    fixture.send("POST", path, "Tokens: 100,10\r\n", "hello");
    fixture.run_until([&] { return fixture.caller_ended || read_plainly(fixture.received).complete; });
    return fixture.received;
}

/// Whether a byte lies in the value of an event's field: the event is then another valid one, which nothing
/// but its upstream can tell.
auto is_in_value(const std::string& response, std::size_t at) -> bool
{
    const std::size_t body = response.find("\r\n\r\n");
    const std::size_t line = response.rfind('\n', at == 0 ? 0 : at - 1);
    const std::size_t colon = response.find(": ", line);
    return at > body + 4 && colon != std::string::npos && colon <= at && response[at] != '\n' &&
           response[at] != '\r';
}

auto escaped(const std::string& text) -> std::string
{
    std::string out;
    for (const char c : text) {
        out += c == '\n' ? "\\n" : c == '\r' ? "\\r" : std::string(1, c);
    }
    return out;
}

void check_reading(const plain_reading& reading, bool value_damaged, const std::string& what)
{
    if (reading.status != "200") {
        return;
    }
    long last = 0;
    for (const plain_event& event : reading.events) {
        const long id = std::strtol(event.id.c_str(), nullptr, 10);
        cr_assert(!event.id.empty() && std::to_string(id) == event.id, "no id: %s", what.c_str());
        cr_assert(value_damaged ? id > last : id == last + 1, "event %ld after %ld: %s", id, last,
                  what.c_str());
        cr_assert(value_damaged || event.data == "token " + event.id, "%s", what.c_str());
        last = id;
    }
    cr_assert(!reading.complete || value_damaged || last == event_count, "ends after %ld: %s", last,
              what.c_str());
}

void check_each_byte(const std::string& response, const std::string& path, const damage& change)
{
    for (std::size_t at = 0; at < response.size(); ++at) {
        const std::string damaged = change(response, at);
        const std::string received = received_after(damaged, path);
        const plain_reading reading = read_plainly(received);
        const bool is_resumed = path == "/chat/1";
        cr_assert(!is_resumed || is_in_value(response, at) || (reading.status == "200" && reading.complete),
                  "not resumed: %s", escaped(std::string(damaged).append(" -> ").append(received)).c_str());
        check_reading(reading, is_in_value(response, at),
                      escaped(std::string(damaged).append(" -> ").append(received)));
    }
}

} // namespace

// Guards against a caller that reads an event which no upstream made, or numbers that go back, after one byte
// of a response was lost.
Test(damaged_response, with_a_lost_byte_leaves_only_events_of_the_stream)
{
    check_each_byte(chunked_head + chunk(events(1, event_count)) + chunk(""), "/chat/1", lose);
    check_each_byte(with_length(events(1, event_count)), "/tell/1", lose);
}

// Guards against the same after one byte was sent twice.
Test(damaged_response, with_a_repeated_byte_leaves_only_events_of_the_stream)
{
    check_each_byte(chunked_head + chunk(events(1, event_count)) + chunk(""), "/tell/1", repeat);
    check_each_byte(with_length(events(1, event_count)), "/chat/1", repeat);
}

// Guards against the same after one byte was replaced by text, or by a byte that separates events or fields.
Test(damaged_response, with_a_replaced_byte_leaves_only_events_of_the_stream)
{
    check_each_byte(with_length(events(1, event_count)), "/chat/1", replace_by('~'));
    check_each_byte(with_length(events(1, event_count)), "/tell/1", replace_by('\n'));
    check_each_byte(chunked_head + chunk(events(1, event_count)) + chunk(""), "/chat/1", replace_by(':'));
}

// Guards against the same after a blank line was put in.
Test(damaged_response, with_a_blank_line_put_in_leaves_only_events_of_the_stream)
{
    check_each_byte(chunked_head + chunk(events(1, event_count)) + chunk(""), "/tell/1", insert_blank_line);
    check_each_byte(stream_head + events(1, event_count), "/chat/1", insert_blank_line);
}
