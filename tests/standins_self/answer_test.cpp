#include "standins/answer.h"

#include "dragonflymill/route/prompt_blocks.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

Test(answer, block_hashes_match_the_gateway)
{
    std::string prompt(10'000, 'x');
    prompt[5'000] = 'y';
    const auto digest = standins::digest_of(prompt);
    const auto bytes = standins::bytes_per_token * static_cast<std::size_t>(standins::cache_block_tokens);
    cr_assert(standins::cache_block_tokens == block_tokens);
    cr_assert(digest.blocks == prompt_blocks(prompt, bytes));
    cr_assert(digest.blocks.size() == 9);
    cr_assert(digest.tokens == 2'500);
}

Test(answer, answer_depends_on_model_and_every_byte_of_the_prompt)
{
    const auto answer = standins::expected_answer("m", "prompt", 100);
    cr_assert(answer == standins::expected_answer("m", "prompt", 100));
    cr_assert(answer != standins::expected_answer("n", "prompt", 100));
    cr_assert(answer != standins::expected_answer("m", "Prompt", 100));
    cr_assert(standins::expected_answer("m", "prompt", 3) == answer.substr(0, 12));
}
