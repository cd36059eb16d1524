#include "edge/request_fingerprint.h"

#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto names() -> header_names
{
    header_names all;
    all.request_id = "Id";
    all.prompt_parts = "Parts";
    all.time_left_ms = "Time-Left";
    all.resume_after = "Last-Event-Id";
    return all;
}

auto sample() -> caller_request
{
    caller_request request;
    request.method = "POST";
    request.target = "/chat/1?a=b";
    request.fields = {{"Host", "H.example"}, {"Id", "r1"}, {"Time-Left", "4000"}, {"Parts", "a:40,b:60"}};
    request.body = "a body that is longer than one word";
    return request;
}

auto fingerprint(const caller_request& request, const std::string& account = "acme") -> std::uint64_t
{
    return request_fingerprint(request, account, names());
}

} // namespace

// Guards against a request that is taken for a new one each time its caller repeats it.
Test(request_fingerprint, is_the_same_for_repetitions_by_the_caller)
{
    caller_request repeated = sample();
    repeated.fields = {{"host", "h.example"},
                       {"Id", "r2"},
                       {"Time-Left", "900"},
                       {"Parts", "a:40,b:60"},
                       {"Last-Event-Id", "7"}};
    cr_assert(fingerprint(repeated) == fingerprint(sample()));
}

// Guards against sound requests that are taken for another one under which upstreams crash.
Test(request_fingerprint, differs_with_all_that_an_upstream_gets)
{
    std::set<std::uint64_t> seen{fingerprint(sample()), fingerprint(sample(), "other"),
                                 fingerprint(sample(), "")};
    const auto add = [&](auto change) {
        caller_request request = sample();
        change(request);
        seen.insert(fingerprint(request));
    };
    add([](caller_request& request) { request.method = "PUT"; });
    add([](caller_request& request) { request.target = "/chat/1"; });
    add([](caller_request& request) { request.fields[0].value = "other.example"; });
    add([](caller_request& request) { request.fields[3].value = "a:40,c:60"; });
    add([](caller_request& request) { request.body.clear(); });
    const std::size_t length = sample().body.size();
    for (std::size_t at = 0; at < length; ++at) {
        add([&](caller_request& request) { request.body[at] = '#'; });
    }
    add([](caller_request& request) { request.body.push_back('\0'); });
    cr_assert(seen.size() == 9 + length, "%zu", seen.size());
}
