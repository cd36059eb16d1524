#include "dragonflymill/core/length_class.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

Test(length_class, limits_belong_to_the_shorter_class)
{
    constexpr token_count memory = 500'000;
    cr_assert(classify(interactive_limit, interactive_limit, memory) == length_class::interactive);
    cr_assert(classify(interactive_limit + 1, interactive_limit + 1, memory) == length_class::medium);
    cr_assert(classify(medium_limit + 1, medium_limit + 1, memory) == length_class::bulk);
    cr_assert(classify(memory, memory, memory) == length_class::bulk);
    cr_assert(classify(memory + 1, memory + 1, memory) == length_class::gang);
}

Test(length_class, a_cached_prefix_makes_a_long_prompt_interactive)
{
    cr_assert(classify(1'000, 200'000, 500'000) == length_class::interactive);
}
