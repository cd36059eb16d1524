#include "edge/prompt_parts.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::edge;

// Guards against calls that share a part and are taken for unlike ones, or the reverse.
Test(prompt_parts, are_told_apart_by_id_and_service)
{
    const prompt_parts parts = parse_prompt_parts("5c1e:800, 91BD:410,e440:250", "model");
    cr_assert(parts.size() == 3);
    cr_assert(parse_prompt_parts("5C1E:1,91bd:2,e440:3", "model") == parts);
    cr_assert(parse_prompt_parts("5c1e:800,91bd:410,e440:250", "other") != parts);
    cr_assert(std::count_if(parts.begin(), parts.end(), is_own_part) == 1);
    // A part that is shared by one call and the last one of another isn't the same.
    cr_assert(parse_prompt_parts("5c1e:800", "model") != parse_prompt_parts("5c1e:800,a:1", "model"));
}

// Guards against a gateway that fails, or keeps too much, for senseless values.
Test(prompt_parts, senseless_values_are_bounded)
{
    cr_assert(parse_prompt_parts("", "model").empty());
    cr_assert(parse_prompt_parts(",,:5, ,", "model").empty());
    cr_assert(parse_prompt_parts("a:1,a:2,a:3,b:4", "model").size() == 2);
    std::string many;
    for (int part = 0; part < 1000; ++part) {
        many += std::to_string(part) + ":1,";
    }
    const prompt_parts parts = parse_prompt_parts(many + "last:1", "model");
    cr_assert(parts.size() == crash_evidence::max_parts);
    cr_assert(std::count_if(parts.begin(), parts.end(), is_own_part) == 1, "the last part is kept");
}
