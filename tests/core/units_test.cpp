#include "dragonflymill/core/units.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

Test(units, durations_require_a_unit)
{
    cr_assert(parse_duration("30s").value() == 30s);
    cr_assert(parse_duration(" 58ms ").value() == 58ms);
    cr_assert(parse_duration("250us").value() == 250us);
    cr_assert(parse_duration("10m").value() == 10min);
    cr_assert(parse_duration("2h").value() == 2h);
    cr_assert(parse_duration("90d").value() == 24h * 90);
    for (const auto* wrong :
         {"", "30", "s", "-1s", "1.5s", "30 s", "30S", "9999999999999999999s", "999999999999999d"}) {
        cr_assert(parse_duration(wrong).has_error(), "%s", wrong);
    }
}

Test(units, tokens_are_decimal_and_bytes_binary)
{
    cr_assert(parse_tokens("64k").value() == 64'000);
    cr_assert(parse_tokens("1m").value() == 1'000'000);
    cr_assert(parse_tokens("7").value() == 7);
    cr_assert(parse_bytes("64k").value() == 65'536);
    cr_assert(parse_bytes("1g").value() == 1'073'741'824);
    cr_assert(parse_tokens("k").has_error());
    cr_assert(parse_bytes("8x").has_error());
    cr_assert(parse_bytes("999999999999999999g").has_error());
}

Test(units, rates_are_per_second)
{
    cr_assert(parse_rate("200/s").value() == 200);
    cr_assert(parse_rate("0.5/s").value() == 0.5);
    cr_assert(parse_rate("50k/s").value() == 50'000);
    cr_assert(parse_rate("30/m").value() == 0.5);
    for (const auto* wrong : {"", "200", "/s", "-1/s", "1e3/s", "nan/s", "inf/s", "2/h"}) {
        cr_assert(parse_rate(wrong).has_error(), "%s", wrong);
    }
}

Test(units, timestamps_are_utc_and_round_trip)
{
    const auto moment = parse_wall_instant("2027-12-31T23:59:59Z");
    cr_assert(moment.has_value());
    cr_assert(to_text(moment.value()) == "2027-12-31T23:59:59Z");
    cr_assert(parse_wall_instant("1970-01-02T00:00:01Z").value().time_since_epoch() == 86'401s);
    for (const auto* wrong :
         {"2027-02-29T00:00:00Z", "2027-12-31", "2027-12-31T24:00:00Z", "2027-12-31T23:59:59"}) {
        cr_assert(parse_wall_instant(wrong).has_error(), "%s", wrong);
    }
}

Test(units, durations_are_formatted_with_the_largest_integral_unit)
{
    cr_assert(to_text(duration(30s)) == "30s");
    cr_assert(to_text(duration(1500ms)) == "1500ms");
    cr_assert(to_text(duration(2h)) == "2h");
    cr_assert(to_text(duration::zero()) == "0us");
}

Test(units, parses_counts_and_booleans)
{
    cr_assert(parse_count("16").value() == 16);
    cr_assert(parse_count("1k").has_error());
    cr_assert(parse_yes_no("yes").value());
    cr_assert(!parse_yes_no("false").value());
    cr_assert(parse_yes_no("1").has_error());
}
