#include "http/http_call.h"

#include "http/whole_answer.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"
#include "support/standin_upstream.h"

#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace dragonflymill;
using namespace dragonflymill::http;
using test_support::standin_upstream;
using test_support::taken_connection;

namespace {

/// Result of a call.
struct ended_call
{
    call_end end = call_end::not_sent;
    http_response answer;
};

/// Calls an upstream that runs `script` and waits until the call has ended.
auto call(const standin_upstream::script& script, call_limits limits = {}) -> ended_call
{
    boost::asio::io_context loop{1};
    standin_upstream upstream(loop, script);
    std::optional<ended_call> ended;
    const auto started =
        std::make_shared<http_call>(loop, parse_tcp_endpoint(upstream.address()).value(), limits);
    started->start({"GET", "/", {}, {}}, runtime::now() + 30s,
                   gather_answer([&](call_end end, const http_response& answer) {
                       ended = ended_call{end, answer};
                   }));
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!ended) {
        cr_assert(std::chrono::steady_clock::now() < give_up, "the call doesn't end");
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return *ended;
}

auto call_answered(const std::string& bytes) -> ended_call
{
    return call([&](taken_connection& connection) {
        connection.send(bytes);
        connection.close();
    });
}

/// Sends `part` every few milliseconds until the connection is closed.
void send_repeatedly(boost::asio::io_context& loop, const std::shared_ptr<taken_connection>& connection,
                     const std::string& part)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop, std::chrono::milliseconds(5));
    timer->async_wait([&loop, timer, connection, part](const auto& /*failed*/) {
        boost::system::error_code failed;
        boost::asio::write(connection->socket, boost::asio::buffer(part), failed);
        if (!failed) {
            send_repeatedly(loop, connection, part);
        }
    });
}

} // namespace

// Guards against an answer that is taken for a whole one though its upstream closed in the head or the body.
Test(http_call, is_whole_only_if_its_response_is_complete)
{
    for (const std::string framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
        const std::string body = framing.starts_with("C") ? "found" : "5\r\nfound\r\n0\r\n\r\n";
        std::string whole = "HTTP/1.1 200 OK\r\n";
        whole.append(framing).append("\r\n").append(body);
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            const ended_call ended = call_answered(whole.substr(0, cut));
            cr_assert((ended.end == call_end::whole) == (cut == whole.size()), "cut after %zu", cut);
        }
    }
}

// Guards against an upstream that crashes right after the head of a response without a length, whose empty
// body looks complete.
Test(http_call, is_not_whole_without_length_and_body)
{
    cr_assert(call_answered("HTTP/1.1 200 OK\r\n\r\n").end == call_end::broken);
    const ended_call found = call_answered("HTTP/1.1 200 OK\r\n\r\nfound");
    cr_assert(found.end == call_end::whole && found.answer.body == "found");
    cr_assert(call_answered("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").end == call_end::whole);
    cr_assert(call_answered("HTTP/1.1 204 No Content\r\n\r\n").end == call_end::whole);
}

// Guards against a coded body that is passed on as a plain one: calls ask for no coding.
Test(http_call, is_not_whole_with_a_coded_body)
{
    for (const std::string coding : {"Content-Encoding: gzip\r\nContent-Length: 5\r\n",
                                     "Content-Encoding: identity, br\r\nContent-Length: 5\r\n",
                                     "Content-Encoding: identity\r\nContent-Encoding: br\r\n",
                                     "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n"}) {
        const ended_call ended = call_answered("HTTP/1.1 200 OK\r\n" + coding + "\r\nfound");
        cr_assert(ended.end == call_end::broken && ended.answer.body.empty(), "%s", coding.c_str());
    }
    const ended_call plain =
        call_answered("HTTP/1.1 200 OK\r\nContent-Encoding: identity\r\nContent-Length: 5\r\n\r\nfound");
    cr_assert(plain.end == call_end::whole && plain.answer.body == "found");
}

// Guards against an interim response that is taken for the answer.
Test(http_call, skips_interim_responses)
{
    const ended_call ended =
        call_answered("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound");
    cr_assert(ended.end == call_end::whole && ended.answer.status == 200 && ended.answer.body == "found");
}

// Guards against calls that never end, as their upstream sends a byte now and then, or interim responses.
Test(http_call, ends_though_its_response_does_not)
{
    call_limits limits;
    limits.total_timeout = 200ms;
    const std::vector<std::pair<std::string, std::string>> endless = {
        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\n", "x: y\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "y"},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    };
    for (const auto& [begin, part] : endless) {
        const auto script = [&begin = begin, &part = part](taken_connection& connection) {
            connection.send(begin);
            auto& loop = static_cast<boost::asio::io_context&>(connection.socket.get_executor().context());
            send_repeatedly(loop, connection.shared_from_this(), part);
        };
        cr_assert(call(script, limits).end == call_end::broken, "%s%s", begin.c_str(), part.c_str());
    }
}

// Guards against a response with a status that doesn't exist, which is passed on or taken for that of an
// interim response.
Test(http_call, is_not_whole_with_a_status_that_does_not_exist)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        // The connection stays open, so that a call which waits for another response doesn't end.
        const ended_call ended = call([&](taken_connection& connection) {
            connection.send("HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nfound");
        });
        cr_assert(ended.end == call_end::broken, "%s", status.c_str());
    }
}

// Guards against a body that is passed on with the framing of its chunks, as the name of the field that
// states them is spoiled.
Test(http_call, is_not_whole_with_a_spoiled_field_name)
{
    for (const std::string field : {" Transfer-Encoding", "\tTransfer-Encoding", "Transfer Encoding",
                                    "Transfer-Encoding ", "Transfer\001Encoding", "Transfer-Encoding\xe9"}) {
        const ended_call ended =
            call_answered("HTTP/1.1 200 OK\r\nX: y\r\n" + field + ": chunked\r\n\r\n5\r\nfound\r\n0\r\n\r\n");
        cr_assert(ended.end == call_end::broken, "%s", field.c_str());
    }
}
