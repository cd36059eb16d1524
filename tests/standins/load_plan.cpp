#include "standins/load_plan.h"

#include "dragonflymill/core/random_source.h"
#include "standins/answer.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill::standins {

namespace {

constexpr int short_templates = 20;
// The minimum answer length of a stand-in engine, so that the answers to all short requests have equal
// length.
constexpr token_count short_answer = 16;
constexpr token_count short_prompt_min = 1'000;
constexpr token_count short_prompt_step = 150;

/// A share of the prompts and their range of lengths in tokens.
struct length_band
{
    double share;
    token_count low;
    token_count high;
};

constexpr length_band warm_up_band{1.0, 4'000, 60'000};
constexpr int warm_up_prompts = 200;

constexpr length_band bands[] = {
    {0.26, 4'000, 32'000}, {0.09, 32'000, 100'000}, {0.03, 100'000, 400'000}, {0.02, 400'000, 1'000'000}};

auto template_tokens(int number) -> token_count
{
    return short_prompt_min + short_prompt_step * number;
}

auto evenly_spaced_time(int number, int count, duration length) -> duration
{
    return length * number / std::max(1, count);
}

/// Draws a length that is uniformly distributed on a logarithmic scale.
auto draw_length(const length_band& band, random_source& random) -> token_count
{
    const auto ratio = static_cast<double>(band.high) / static_cast<double>(band.low);
    return static_cast<token_count>(static_cast<double>(band.low) * std::pow(ratio, random.unit()));
}

auto draw_completion(random_source& random, const load_size& size) -> planned_completion
{
    planned_completion out;
    out.seed = random.next();
    auto draw = random.unit();
    for (const auto& band : bands) {
        if (draw < band.share) {
            out.tokens = std::min(size.longest, draw_length(band, random));
            out.max_tokens = short_answer + static_cast<token_count>(random.below(48));
            return out;
        }
        draw -= band.share;
    }
    out.short_template = static_cast<int>(random.below(short_templates));
    out.tokens = template_tokens(out.short_template);
    out.max_tokens = short_answer;
    return out;
}

} // namespace

auto to_string(demo_phase phase) -> const char*
{
    switch (phase) {
    case demo_phase::warm_up:
        return "warm-up";
    case demo_phase::alone:
        return "short ones alone";
    case demo_phase::mix:
        return "all lengths together";
    case demo_phase::domain_out:
        return "failure domain out";
    case demo_phase::domain_back:
        return "failure domain back";
    case demo_phase::stopping:
        return "a gateway stops";
    }
    return "";
}

auto make_plan(const load_size& size) -> load_plan
{
    random_source random(size.seed);
    load_plan out;
    for (int number = 0; number < warm_up_prompts && size.warm_up > duration::zero(); ++number) {
        const auto tokens = std::min(size.longest, draw_length(warm_up_band, random));
        out.warm_up.push_back({duration::zero(), tokens, short_answer, random.next(), -1});
    }
    for (int number = 0; number < short_templates; ++number) {
        out.alone.push_back({duration::zero(), template_tokens(number), short_answer, random.next(), number});
    }
    for (int number = 0; number < size.requests; ++number) {
        auto item = draw_completion(random, size);
        item.at = evenly_spaced_time(number, size.requests, size.length);
        out.completions.push_back(item);
    }
    // Always includes the longest prompt, placed early so that it completes within the run.
    if (!out.completions.empty()) {
        auto& longest = out.completions[out.completions.size() / 8];
        longest.tokens = size.longest;
        longest.short_template = -1;
    }
    for (int number = 0; number < size.bookings; ++number) {
        const auto gap = std::chrono::milliseconds(random.below(100));
        out.bookings.push_back({evenly_spaced_time(number, size.bookings, size.length), gap, random.next()});
    }
    return out;
}

auto prompt_text(token_count tokens, std::uint64_t seed) -> std::string
{
    constexpr unsigned letter_bits = 4;
    constexpr std::uint64_t letter_mask = (1U << letter_bits) - 1;
    random_source random(seed);
    std::string out(static_cast<std::size_t>(tokens) * bytes_per_token, ' ');
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < out.size(); ++i) {
        // Each token is a space and a word of three letters.
        if (i % bytes_per_token != 0) {
            bits = bits == 0 ? random.next() : bits;
            out[i] = static_cast<char>('a' + (bits & letter_mask));
            bits >>= letter_bits;
        }
    }
    return out;
}

} // namespace dragonflymill::standins
