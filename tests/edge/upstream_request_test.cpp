#include "edge/upstream_request.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto names() -> header_names
{
    header_names result;
    result.time_left_ms = "Time-Left";
    result.account = "Account";
    result.expected_upstream = "Expected";
    result.prefill_engines = "Helpers";
    result.engine_priority = "Priority";
    result.resume_after = "Resume-After";
    result.account_key = "Authorization";
    return result;
}

auto request() -> caller_request
{
    caller_request result;
    result.method = "POST";
    result.target = "/path?query=1";
    result.fields = {{"Host", "a.example"}, {"X-Own", "1"}};
    result.body = "body";
    return result;
}

auto has(const std::string& text, const std::string& line) -> bool
{
    return text.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

// Guards against callers that set the gateway's own fields to choose an account, an upstream or a deadline,
// and against passing their API key to the upstream.
Test(upstream_request, replaces_gateway_fields_sent_by_the_caller)
{
    caller_request result = request();
    result.fields.insert(result.fields.end(), {{"account", "somebody"},
                                               {"EXPECTED", "other"},
                                               {"Time-Left", "999999"},
                                               {"Helpers", "10.0.0.1:1"},
                                               {"Priority", "0"},
                                               {"authorization", "Bearer secret"}});
    const std::string text = upstream_request(result, names(), {1500ms, "u1", "mine", "", ""}).head;
    cr_assert(has(text, "Account: mine") && has(text, "Expected: u1") && has(text, "Time-Left: 1500"));
    for (const char* foreign : {"somebody", "other", "999999", "10.0.0.1:1", "Priority", "secret"}) {
        cr_assert(text.find(foreign) == std::string::npos, "%s", foreign);
    }
}

Test(upstream_request, keeps_method_target_body_and_other_fields)
{
    const caller_request result = request();
    const encoded_request encoded = upstream_request(result, names(), {1s, "u1", "", "", ""});
    const std::string& text = encoded.head;
    cr_assert(text.starts_with("POST /path?query=1 HTTP/1.1\r\n"));
    cr_assert(has(text, "X-Own: 1") && has(text, "Host: a.example") && has(text, "Content-Length: 4"));
    cr_assert(text.ends_with("\r\n\r\n") && text.find("\r\n\r\n") == text.size() - 4 &&
              encoded.body == "body");
    cr_assert(text.find("Account") == std::string::npos);
}

Test(upstream_request, removes_hop_by_hop_fields)
{
    caller_request result = request();
    result.fields.insert(
        result.fields.end(),
        {{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"Transfer-Encoding", "chunked"}});
    const std::string text = upstream_request(result, names(), {1s, "u1", "", "", ""}).head;
    cr_assert(text.find("X-Hop") == std::string::npos && text.find("chunked") == std::string::npos);
}

// Guards against sending a zero or negative remaining time when a timer fires late: upstreams would treat it
// as no limit.
Test(upstream_request, sends_at_least_one_millisecond_of_remaining_time)
{
    const std::string text = upstream_request(request(), names(), {-5ms, "u1", "", "", ""}).head;
    cr_assert(has(text, "Time-Left: 1"));
}

Test(upstream_request, sends_the_resume_position_and_prefill_engines)
{
    const std::string text =
        upstream_request(request(), names(), {1s, "u1", "", "12", "10.0.0.1:1,10.0.0.2:1"}).head;
    cr_assert(has(text, "Resume-After: 12") && has(text, "Helpers: 10.0.0.1:1,10.0.0.2:1"));
}
