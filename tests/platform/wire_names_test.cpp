#include "platform/wire_names.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::platform;

namespace {

auto statement_of(const std::string& value) -> rate_statement
{
    return read_rate_statement({200, "OK", {{"Content-Length", "0"}, {"server-limit", value}}});
}

} // namespace

Test(wire_names, rate_limit_is_read_as_calls_per_second)
{
    cr_assert(statement_of("2") == (rate_statement{true, 2.0}));
    cr_assert(statement_of("0.25") == (rate_statement{true, 0.25}));
    cr_assert(statement_of("0") == (rate_statement{true, 0.0}));
    cr_assert(read_rate_statement({200, "OK", {}}) == (rate_statement{true, std::nullopt}));
}

// Guards against an unreadable limit that is taken for the end of one, or for a limit of zero.
Test(wire_names, unreadable_rate_limit_says_nothing)
{
    for (const char* text : {"", "many", "2 per s", "-1", "inf", "nan", "1e999"}) {
        cr_assert(!statement_of(text).readable, "%s", text);
    }
}
