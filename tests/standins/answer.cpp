#include "standins/answer.h"

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill::standins {

namespace {

constexpr token_count min_answer_length = 16;
constexpr std::uint64_t answer_length_range = 112;
constexpr std::size_t block_bytes = bytes_per_token * static_cast<std::size_t>(cache_block_tokens);

} // namespace

auto digest_of(std::string_view prompt) -> prompt_digest
{
    prompt_digest out;
    out.tokens = static_cast<token_count>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
    while (!prompt.empty()) {
        const auto block = prompt.substr(0, block_bytes);
        out.hash = stable_hash(block, out.hash + 1);
        if (block.size() == block_bytes) {
            out.blocks.push_back(out.hash);
        }
        prompt.remove_prefix(block.size());
    }
    return out;
}

auto answer_length(std::string_view model, std::uint64_t prompt_hash, token_count max_tokens) -> token_count
{
    random_source source(stable_hash(model, prompt_hash));
    const auto full_length = min_answer_length + static_cast<token_count>(source.below(answer_length_range));
    return std::min(full_length, max_tokens);
}

auto answer_token(std::string_view model, std::uint64_t prompt_hash, token_count offset) -> std::string
{
    constexpr std::size_t letters = 4;
    random_source source(stable_hash(model, prompt_hash) + static_cast<std::uint64_t>(offset));
    std::string text(letters, ' ');
    for (std::size_t i = 1; i < letters; ++i) {
        text[i] = static_cast<char>('a' + source.below(26));
    }
    return text;
}

auto expected_answer(std::string_view model, std::string_view prompt, token_count max_tokens) -> std::string
{
    const auto hash = digest_of(prompt).hash;
    const auto length = answer_length(model, hash, max_tokens);
    std::string out;
    for (token_count offset = 0; offset < length; ++offset) {
        out += answer_token(model, hash, offset);
    }
    return out;
}

} // namespace dragonflymill::standins
