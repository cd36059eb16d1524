#include "process/stream_answer.h"

#include "standins/answer.h"
#include "standins/json_fields.h"
#include "standins/load_plan.h"

#include <criterion/criterion.h>

namespace dragonflymill::test {

auto seed_of_long_answer(token_count tokens, token_count max_tokens) -> std::uint64_t
{
    // Bounds the search: for a response longer than the stand-in's maximum it would never end, and the test
    // runner would hang.
    constexpr std::uint64_t seeds_tried = 10'000;
    for (std::uint64_t seed = 1; seed < seeds_tried; ++seed) {
        const auto hash = standins::digest_of(standins::prompt_text(tokens, seed)).hash;
        if (standins::answer_length("assistant-1", hash, max_tokens) == max_tokens) {
            return seed;
        }
    }
    cr_assert_fail("no prompt gets a response of %lld tokens; request fewer tokens",
                   static_cast<long long>(max_tokens));
    return 0;
}

auto is_whole_answer(const standins::http_answer& answer, token_count tokens, token_count max_tokens,
                     std::uint64_t seed) -> bool
{
    const std::string field = "data: ";
    std::string text;
    std::size_t at = 0;
    bool done = false;
    while ((at = answer.body.find(field, at)) != std::string::npos) {
        at += field.size();
        const auto data = answer.body.substr(at, answer.body.find('\n', at) - at);
        const auto object = standins::parse_object(data);
        done = done || data == "[DONE]";
        if (object && object->contains("choices")) {
            text += standins::text_field(object->at("choices").as_array().at(0).as_object(), "text");
        }
    }
    const auto prompt = standins::prompt_text(tokens, seed);
    return answer.status == 200 && done &&
           text == standins::expected_answer("assistant-1", prompt, max_tokens);
}

} // namespace dragonflymill::test
