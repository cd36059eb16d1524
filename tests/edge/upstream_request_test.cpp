#include "edge/upstream_request.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto names() -> header_names
{
    header_names made;
    made.time_left_ms = "Time-Left";
    made.account = "Account";
    made.expected_upstream = "Expected";
    made.helpers = "Helpers";
    made.engine_priority = "Priority";
    made.resume_after = "Resume-After";
    made.account_key = "Authorization";
    return made;
}

auto request() -> caller_request
{
    caller_request made;
    made.method = "POST";
    made.target = "/path?query=1";
    made.fields = {{"Host", "a.example"}, {"X-Own", "1"}};
    made.body = "body";
    return made;
}

auto has(const std::string& text, const std::string& line) -> bool
{
    return text.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

// A caller names another account, another upstream and a time of its own, and its key is in the request. The
// upstream must get what the gateway knows, and never the key.
Test(upstream_request, what_a_caller_says_of_the_gateways_fields_is_left_out)
{
    caller_request made = request();
    made.fields.insert(made.fields.end(), {{"account", "somebody"},
                                           {"EXPECTED", "other"},
                                           {"Time-Left", "999999"},
                                           {"Helpers", "10.0.0.1:1"},
                                           {"Priority", "0"},
                                           {"authorization", "Bearer secret"}});
    const std::string text = upstream_request(made, names(), {1500ms, "u1", "mine", "", ""});
    cr_assert(has(text, "Account: mine") && has(text, "Expected: u1") && has(text, "Time-Left: 1500"));
    for (const char* foreign : {"somebody", "other", "999999", "10.0.0.1:1", "Priority", "secret"}) {
        cr_assert(text.find(foreign) == std::string::npos, "%s", foreign);
    }
}

Test(upstream_request, method_target_body_and_other_fields_stay)
{
    const std::string text = upstream_request(request(), names(), {1s, "u1", "", "", ""});
    cr_assert(text.starts_with("POST /path?query=1 HTTP/1.1\r\n"));
    cr_assert(has(text, "X-Own: 1") && has(text, "Host: a.example") && has(text, "Content-Length: 4"));
    cr_assert(text.ends_with("\r\n\r\nbody"));
    cr_assert(text.find("Account") == std::string::npos);
}

Test(upstream_request, fields_of_one_connection_are_left_out)
{
    caller_request made = request();
    made.fields.insert(
        made.fields.end(),
        {{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"Transfer-Encoding", "chunked"}});
    const std::string text = upstream_request(made, names(), {1s, "u1", "", "", ""});
    cr_assert(text.find("X-Hop") == std::string::npos && text.find("chunked") == std::string::npos);
}

// A timer fires late and nothing is left: the upstream is told one millisecond, never none or a time below
// zero, which would be no limit.
Test(upstream_request, time_left_is_never_less_than_a_millisecond)
{
    const std::string text = upstream_request(request(), names(), {-5ms, "u1", "", "", ""});
    cr_assert(has(text, "Time-Left: 1"));
}

Test(upstream_request, a_resumed_stream_and_its_helpers_are_told)
{
    const std::string text =
        upstream_request(request(), names(), {1s, "u1", "", "12", "10.0.0.1:1,10.0.0.2:1"});
    cr_assert(has(text, "Resume-After: 12") && has(text, "Helpers: 10.0.0.1:1,10.0.0.2:1"));
}
