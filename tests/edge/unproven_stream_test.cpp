#include "stream_exchange.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr const char* ok = "200 OK";
constexpr const char* label = "Content-Type: text/event-stream\r\n";
constexpr const char* marks = "Request-Id: r1\r\nSeal: s1\r\n";

auto with_length(const std::string& status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

auto in_chunks(const std::string& status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
           (body.empty() ? "" : chunk(body)) + chunk("");
}

/// Checks that nothing of a response with this head is forwarded, whatever its framing and body.
void check_not_forwarded(const std::string& status, const std::string& fields)
{
    for (const std::string& body : {events(1, event_count), std::string("spoiled\n\n"),
                                    events(1, 2) + events(1, 1), std::string("data: x\n\n")}) {
        for (const std::string& response :
             {with_length(status, fields, body), in_chunks(status, fields, body)}) {
            check_resumed(response);
            const received_stream ended = stream_after(response, "/tell/1");
            cr_assert(!ended.complete && ended.body.empty(), "after %s: %s", response.c_str(),
                      ended.body.c_str());
        }
    }
}

} // namespace

// Guards against text without ids, relayed unread because the response isn't labelled as the stream that is
// due.
Test(unproven_stream, without_its_label_is_not_forwarded)
{
    for (const std::string type :
         {"", "Content-Type: text/event-stre\r\n", "Content-Type: qyqt/event-stream\r\n",
          "Content-Type: text/event-streamy\r\n", "Content-Type: text/plain\r\n", "Content-Type:\r\n",
          "Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n"}) {
        check_not_forwarded(ok, marks + type);
    }
}

// Guards against the body of another success, relayed unread because only a 200 was read as a stream.
Test(unproven_stream, with_another_success_is_not_forwarded)
{
    for (const std::string status : {"201 Created", "202 Accepted", "206 Partial Content", "299 Odd"}) {
        check_not_forwarded(status, std::string(marks) + label);
    }
}

// Guards against a response of unknown origin: what doesn't name the request that it answers may answer
// another one.
Test(unproven_stream, that_does_not_name_its_request_is_not_forwarded)
{
    for (const std::string id :
         {"", "Request-Id:\r\n", "Request-I: r1\r\n", "Request-Id: r1\r\nRequest-Id: r2\r\n"}) {
        check_not_forwarded(ok, "Seal: s1\r\n" + id + label);
    }
}

// Guards against a coded body, in which no event can be read.
Test(unproven_stream, that_is_encoded_is_not_forwarded)
{
    for (const std::string coding : {"gzip", "x", "identity, br"}) {
        check_not_forwarded(ok, marks + std::string(label) + "Content-Encoding: " + coding + "\r\n");
    }
}

// Guards against an empty stream that looks complete, though its upstream has made nothing.
Test(unproven_stream, without_an_event_is_not_complete)
{
    for (const std::string body : {"", ": comment\n\n", "retry: 5\n\n"}) {
        for (const std::string& response : {with_length(ok, marks + std::string(label), body),
                                            in_chunks(ok, marks + std::string(label), body)}) {
            check_resumed(response);
            check_ended(response);
        }
    }
}

// Guards against strictness that stops a valid stream: other spellings of the label, an end that was lost.
Test(unproven_stream, valid_streams_are_forwarded)
{
    for (const std::string type : {"text/event-stream", "Text/Event-Stream",
                                   "text/event-stream; charset=utf-8", "text/event-stream ;x"}) {
        const std::string fields = marks + ("Content-Type: " + type) + "\r\n";
        const received_stream received = stream_after(with_length(ok, fields, events(1, 2)), "/tell/1");
        cr_assert(received.complete && received.body == events(1, 2), "%s", type.c_str());
    }
    const received_stream resumed_at_end =
        stream_after(in_chunks(ok, marks + std::string(label), ""), "/chat/1", "Last-Event-Id: 3\r\n");
    cr_assert(resumed_at_end.complete && resumed_at_end.body.empty(),
              "nothing is left behind the last event");
}

// Guards against strictness that stops the answer to a HEAD request, which has no stream to prove.
Test(unproven_stream, is_not_due_in_answer_to_a_head_request)
{
    gateway_fixture fixture;
    fixture.add_upstream("engines", [](taken_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s1\r\nContent-Length: 9\r\n\r\n");
    });
    fixture.start();
    fixture.send("HEAD", "/chat/1", "Tokens: 100,10\r\n");
    fixture.run_until_received("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 200 "), "%s", fixture.received.c_str());
}
