#include "platform/wire_names.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::platform;

namespace {

auto statement_of(const std::string& value) -> rate_statement
{
    return read_statement({200, "OK", {{"Content-Length", "0"}, {"server-limit", value}}}).rate;
}

auto pushback_of(unsigned status, const std::string& value) -> direct::pushback_statement
{
    return read_statement({status, "S", {{"Content-Length", "0"}, {"retry-after", value}}}).pushback;
}

} // namespace

// Guards against gateways that can't tell calls with a shared part of their prompts from others.
Test(wire_names, the_parts_of_a_prompt_are_read)
{
    cr_assert(platform_header_names().prompt_parts == "Dragonflymill-Prompt-Prefix");
}

Test(wire_names, rate_limit_is_read_as_calls_per_second)
{
    cr_assert(statement_of("2") == (rate_statement{true, 2.0}));
    cr_assert(statement_of("0.25") == (rate_statement{true, 0.25}));
    cr_assert(statement_of("0") == (rate_statement{true, 0.0}));
    cr_assert(read_statement({200, "OK", {}}) == direct::upstream_statement{});
}

// Guards against an unreadable limit that is taken for the end of one, or for a limit of zero.
Test(wire_names, unreadable_rate_limit_says_nothing)
{
    for (const char* text : {"", "many", "2 per s", "-1", "inf", "nan", "1e999"}) {
        cr_assert(!statement_of(text).readable, "%s", text);
    }
}

Test(wire_names, time_to_retry_of_a_rejection_is_a_pushback)
{
    cr_assert(pushback_of(503, "3") == (direct::pushback_statement{true, 3s}));
    cr_assert(pushback_of(503, "0.25") == (direct::pushback_statement{true, 250ms}));
    cr_assert(pushback_of(503, "0") == (direct::pushback_statement{true, 0s}));
    cr_assert(pushback_of(200, "3") == direct::pushback_statement{});
    cr_assert(pushback_of(429, "3") == direct::pushback_statement{});
}

// Guards against a pushback that never ends, or ends at once, because its length overflows.
Test(wire_names, huge_pushback_has_a_finite_length)
{
    for (const char* text : {"1e300", "1e999", "99999999999999999999", "inf"}) {
        const auto pushback = pushback_of(503, text);
        cr_assert(pushback.readable && pushback.length && *pushback.length > 24h, "%s", text);
        cr_assert(*pushback.length < 24h * 365 * 100, "%s", text);
    }
}

// Guards against an unreadable time that is taken for a pushback of zero or of any other length.
Test(wire_names, unreadable_pushback_says_nothing)
{
    for (const char* text : {"", "soon", "3 s", "-1", "-inf", "nan", "Fri, 01 Jan 2027 00:00:00 GMT"}) {
        const auto pushback = pushback_of(503, text);
        cr_assert(!pushback.readable && !pushback.length, "%s", text);
    }
}

Test(wire_names, leaving_is_read_from_any_response)
{
    for (const unsigned status : {200U, 404U, 503U}) {
        cr_assert(read_statement({status, "S", {{"server-leaving", "1"}}}).draining);
        cr_assert(!read_statement({status, "S", {{"server-leaving", "0"}}}).draining);
        cr_assert(!read_statement({status, "S", {}}).draining);
    }
}
