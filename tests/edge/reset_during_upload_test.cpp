#include "gateway_fixture.h"
#include "support/early_responder.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;
using test_support::early_responder;
using test_support::early_response;
using ending = early_response::ending;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// More than the socket buffers of both sides hold.
constexpr std::size_t long_upload = 8 * mebibyte;
constexpr std::size_t part_bytes = 20'000;
constexpr int small_buffer = 4'096;

auto response_head_of(const std::string& status_line, const std::string& fields = "") -> std::string
{
    return "HTTP/1.1 " + status_line + "\r\nRequest-Id: r1\r\nSeal: s1\r\n" + fields + "\r\n";
}

auto unframed_part(const std::string& status_line = "200 OK") -> std::string
{
    return response_head_of(status_line) + std::string(part_bytes, 'p');
}

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

auto unframed_stream() -> std::string
{
    return response_head_of("200 OK", "Content-Type: text/event-stream\r\n") + event(1) + event(2);
}

/// What a caller has received when its response was complete or its connection ended.
struct upload_result
{
    bool complete = false;
    unsigned status = 0;
    std::string body;
    std::size_t attempts = 0; ///< Connections to the upstream.
};

/// Uploads `bytes` to a service whose only upstream answers with `response`.
auto upload(const early_response& response, const std::string& path = "/book/1",
            std::size_t bytes = long_upload) -> upload_result
{
    gateway_fixture fixture;
    early_responder upstream(fixture.loop, response);
    const bool streaming = path.starts_with("/chat/") || path.starts_with("/tell/");
    fixture.add_upstream_at(streaming ? "engines" : "bookings", upstream.address());
    fixture.limits.body_bytes = 2 * long_upload;
    fixture.start();
    const std::string request = "POST " + path +
                                " HTTP/1.1\r\nHost: H.example:80\r\nRequest-Id: r1\r\nTime-Left: "
                                "9000\r\nAuthorization: Bearer key1\r\n" +
                                (streaming ? "Tokens: 100,10\r\n" : "") +
                                "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
                                std::string(bytes, 'u');
    boost::asio::async_write(fixture.caller, boost::asio::buffer(request),
                             [](const auto& /*failed*/, std::size_t /*bytes*/) {});
    upload_result result;
    http::response_parser parser(false);
    std::size_t parsed = 0;
    fixture.run_until([&] {
        if (fixture.received.size() > parsed) {
            const auto unparsed = std::string_view(fixture.received).substr(parsed);
            parsed = fixture.received.size();
            result.complete = parser.take(unparsed, result.body) == http::response_state::complete;
        }
        return result.complete || fixture.caller_ended;
    });
    result.status = parser.head().status;
    result.attempts = upstream.connections();
    fixture.caller.close();
    return result;
}

void check_unknown(const upload_result& result, const char* what)
{
    cr_assert(result.complete && result.status == 502, "%s: status %u, %zu bytes", what, result.status,
              result.body.size());
    cr_assert(result.attempts == 1, "%s: sent %zu times", what, result.attempts);
}

} // namespace

// Guards against a part of a response without a length that is passed on as complete, after a reset that a
// write of the upload has reported.
Test(reset_during_upload, leaves_no_complete_response)
{
    for (const char* status : {"200 OK", "404 Not Found", "500 Internal Server Error"}) {
        const std::string whole = unframed_part(status);
        const std::size_t middle = whole.size() / 2;
        check_unknown(upload({{whole}}), status);
        check_unknown(upload({{whole}, ending::reset, mebibyte}), status);
        check_unknown(upload({{whole}, ending::reset, 1, 0, false}), status);
        check_unknown(upload({{whole.substr(0, middle), whole.substr(middle)}}), status);
        check_unknown(upload({{whole.substr(0, middle), whole.substr(middle)}, ending::reset, mebibyte}),
                      status);
    }
}

// Guards against a stream without a length that is passed on as complete, as its last event is whole.
Test(reset_during_upload, cuts_a_stream_that_is_not_resumed)
{
    for (const std::size_t bytes_to_read : {std::size_t{0}, mebibyte}) {
        const auto result = upload({{unframed_stream()}, ending::reset, bytes_to_read}, "/tell/1");
        cr_assert(!result.complete || result.status == 502, "status %u", result.status);
        cr_assert(result.attempts == 1);
    }
}

// Guards against an orderly end that is taken for that of the response, though the upstream hasn't taken the
// request: it may have closed for any reason.
Test(reset_during_upload, or_a_close_leaves_no_complete_response)
{
    check_unknown(upload({{unframed_part()}, ending::half_close}), "half closed, nothing taken");
    check_unknown(upload({{unframed_part()}, ending::half_close, mebibyte}), "half closed, a part taken");
    check_unknown(upload({{unframed_part()}, ending::half_close, 0, small_buffer}, "/book/1", mebibyte),
                  "half closed, the rest in the gateway's socket buffer");
}

// Guards against the loss of an early response that shows its own end.
Test(reset_during_upload, keeps_a_response_with_a_length_or_chunks)
{
    const std::string body(part_bytes, 'p');
    const std::string length =
        response_head_of("200 OK", "Content-Length: " + std::to_string(part_bytes) + "\r\n") + body;
    const std::string chunks =
        response_head_of("200 OK", "Transfer-Encoding: chunked\r\n") + "4e20\r\n" + body + "\r\n0\r\n\r\n";
    for (const std::string& whole : {length, chunks}) {
        for (const ending end :
             {ending::reset, ending::half_close, ending::half_close_read, ending::stay_open}) {
            const auto result = upload({{whole}, end});
            cr_assert(result.complete && result.status == 200 && result.body == body, "status %u",
                      result.status);
            const auto later = upload({{whole}, end, mebibyte});
            cr_assert(later.complete && later.status == 200 && later.body == body, "status %u", later.status);
        }
    }
}

// Guards against a response without a length that is withheld though its upstream has taken the request.
Test(reset_during_upload, is_not_assumed_if_the_request_was_delivered)
{
    const auto result = upload({{unframed_part()}, ending::half_close_read, long_upload, 0, false});
    cr_assert(result.complete && result.status == 200 && result.body.size() == part_bytes, "status %u",
              result.status);
}
