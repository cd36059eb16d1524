// Measures the cost of one request in a gateway, from its body to the decision thread, at several prompt
// lengths: time, memory held while the request is in flight, and peak memory during parsing.

#include "dragonflymill/route/prompt_blocks.h"
#include "gateway/completion_request.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace dragonflymill;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t block_bytes = static_cast<std::size_t>(block_tokens) * bytes_per_token;
constexpr int rounds = 20;
constexpr std::size_t kibibyte = 1'024;

auto body_of(std::size_t tokens) -> std::string
{
    std::string body = R"({"model":"m","max_tokens":16,"stream":true,"prompt":")";
    for (std::size_t i = 0; i < tokens; ++i) {
        body += "word";
    }
    body += "\"}";
    return body;
}

/// A field of /proc/self/status in KiB.
auto status_kib(const std::string& name) -> std::size_t
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == name + ":") {
            std::size_t value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

void reset_peak()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

void measure(std::size_t tokens)
{
    const auto body = body_of(tokens);
    reset_peak();
    const auto rest_kib = status_kib("VmRSS");
    const auto begin = std::chrono::steady_clock::now();
    std::size_t held_bytes = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto read = gateway::read_completion_request(body);
        const auto blocks = prompt_blocks(read.value().prompt, block_bytes);
        held_bytes = read.value().prompt.capacity() + blocks.capacity() * sizeof(block_hash);
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begin;
    std::printf("| %zu | %zu | %.1f | %zu | %zu |\n", tokens, body.size() / kibibyte, taken.count() / rounds,
                held_bytes / kibibyte, status_kib("VmHWM") - rest_kib);
}

} // namespace

auto main() -> int
{
    std::puts("| prompt tokens | body KiB | read and hash us | held KiB | peak beside the body KiB |");
    std::puts("|--:|--:|--:|--:|--:|");
    for (const std::size_t tokens : {1'000U, 10'000U, 100'000U, 400'000U, 1'000'000U}) {
        measure(tokens);
    }
    return 0;
}
