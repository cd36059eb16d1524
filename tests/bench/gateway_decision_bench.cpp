// Measures time in nanoseconds and allocated bytes of a routing decision and of an overload decision, with
// 16, 150 and 600 upstreams in the table, and the bytes of their state. Prints Markdown.
#include "dragonflymill/route/baseline_policies.h"
#include "dragonflymill/route/predicted_first_token.h"
#include "dragonflymill/route/router.h"
#include "dragonflymill/serve/overload_controller.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

namespace {

std::size_t allocated = 0; // bytes allocated so far, in total
std::size_t live = 0;      // bytes not yet freed

} // namespace

// Counts the allocations of the decision code. The size is stored in front of each block.
auto operator new(std::size_t size) -> void*
{
    constexpr std::size_t header = alignof(std::max_align_t);
    auto* block = static_cast<char*>(std::malloc(size + header)); // NOLINT(cppcoreguidelines-no-malloc)
    if (block == nullptr) {
        std::abort();
    }
    *reinterpret_cast<std::size_t*>(block) = size;
    allocated += size;
    live += size;
    return block + header;
}

void operator delete(void* pointer) noexcept
{
    if (pointer != nullptr) {
        auto* block = static_cast<char*>(pointer) - alignof(std::max_align_t);
        live -= *reinterpret_cast<std::size_t*>(block);
        std::free(block); // NOLINT(cppcoreguidelines-no-malloc)
    }
}

void operator delete(void* pointer, std::size_t /*size*/) noexcept
{
    operator delete(pointer);
}

using namespace dragonflymill;

namespace {

constexpr int decisions = 4'000;
constexpr std::size_t requests_in_flight = 10;

auto describe(std::size_t i) -> upstream_description
{
    upstream_description made;
    made.id = upstream_id("upstream-" + std::to_string(1'000 + i));
    made.failure_domain = failure_domain_id("domain-" + std::to_string(i % 6));
    made.region = region_id("region-" + std::to_string(i % 2));
    made.models = {model_id("model")};
    made.memory = 450'000;
    return made;
}

auto request_of(int i, token_count prompt) -> route_request
{
    route_request request;
    request.id = request_id("request-" + std::to_string(i));
    request.model = model_id("model");
    request.prompt_tokens = prompt;
    request.max_tokens = 256;
    const auto blocks = std::min<std::size_t>(std::size_t(prompt / block_tokens), max_prompt_blocks);
    for (std::size_t b = 0; b < blocks; ++b) {
        request.blocks.push_back(static_cast<block_hash>(i % 16) * 1'000'000 + b);
    }
    return request;
}

template <routing_policy Policy>
void measure(const char* name, Policy policy, std::size_t upstreams, token_count prompt)
{
    const std::size_t before = live;
    router<Policy> one(std::move(policy));
    std::vector<upstream_description> descriptions;
    for (std::size_t i = 0; i < upstreams; ++i) {
        descriptions.push_back(describe(i));
    }
    (void)one.table().configure(descriptions).has_value();
    descriptions = {};
    const instant now(100s);
    for (std::size_t i = 0; i < upstreams; ++i) {
        upstream_load load;
        load.queued_prefill[0] = static_cast<token_count>((i * 7'919) % 5'000);
        one.report(now, upstream_id("upstream-" + std::to_string(1'000 + i)), load);
        for (std::size_t r = 0; r < requests_in_flight; ++r) {
            const request_id id("running-" + std::to_string(i * 100 + r));
            (void)one.table().sent(now, upstream_id("upstream-" + std::to_string(1'000 + i)),
                                   {id, attempt_number(1), length_class::interactive, 1'000, 1'200, 50ms});
        }
    }
    std::vector<route_request> requests;
    const std::size_t state = live - before;
    for (int i = 0; i < 64; ++i) {
        requests.push_back(request_of(i, prompt));
        one.prefixes().sent(upstream_id("upstream-1003"), requests.back().blocks);
    }
    std::size_t chosen = 0;
    (void)one.choose(now, requests.front());
    const std::size_t allocated_before = allocated;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i) {
        chosen +=
            one.choose(now, requests[static_cast<std::size_t>(i) % requests.size()]).index() == 0 ? 1 : 0;
    }
    const auto time = std::chrono::steady_clock::now() - start;
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(time).count();
    std::printf("| %s | %zu | %lld | %lld | %zu | %zu |\n", name, upstreams, static_cast<long long>(prompt),
                static_cast<long long>(nanoseconds / decisions), (allocated - allocated_before) / decisions,
                state);
    if (chosen != decisions) {
        std::printf("only %zu of %d decisions chose an upstream\n", chosen, decisions);
    }
}

/// Measures one overload decision of a gateway with overloaded upstreams, and the memory of the decision
/// state.
void measure_overload(std::size_t upstreams, std::size_t accounts)
{
    upstream_table table;
    std::vector<upstream_description> descriptions;
    for (std::size_t i = 0; i < upstreams; ++i) {
        descriptions.push_back(describe(i));
    }
    (void)table.configure(descriptions).has_value();
    const instant now(100s);
    for (const auto& each : descriptions) {
        upstream_load load;
        load.queued_prefill[index_of(length_class::bulk)] = 2'000'000;
        table.report(now, each.id, load);
    }
    bundle in_force;
    in_force.models.push_back({model_id("model"), {}, 0});
    for (std::size_t i = 0; i < accounts; ++i) {
        in_force.accounts.emplace_back();
        in_force.accounts.back().id = client_account_id("account-" + std::to_string(i));
    }
    const std::size_t before = live;
    gateway_overload controller(table);
    controller.bundle_adopted(in_force);
    const std::size_t state = live - before;
    gateway_input::completion_arrived asked;
    asked.model = model_id("model");
    asked.prompt_tokens = 1'000;
    asked.time_limit = 30s;
    asked.request = request_id("request");
    asked.exchange = exchange_number(1);
    const std::size_t allocated_before = allocated;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i) {
        asked.account = in_force.accounts[static_cast<std::size_t>(i) % accounts].id;
        (void)controller.offer(now, asked);
        controller.left(asked.exchange);
    }
    const auto time = std::chrono::steady_clock::now() - start;
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(time).count();
    std::printf("| %zu | %zu | %lld | %zu | %zu |\n", upstreams, accounts,
                static_cast<long long>(nanoseconds / decisions), (allocated - allocated_before) / decisions,
                state);
}

} // namespace

auto main() -> int
{
    std::printf("| policy | upstreams | prompt tokens | ns a decision | bytes allocated a decision | bytes "
                "of state |\n"
                "|:--|--:|--:|--:|--:|--:|\n");
    for (const std::size_t upstreams : {16, 150, 600}) {
        for (const token_count prompt : {1'000, 400'000}) {
            measure("predicted first token", predicted_first_token(), upstreams, prompt);
        }
        measure("power of two", power_of_two(1), upstreams, 1'000);
        measure("least outstanding", least_outstanding(), upstreams, 1'000);
        measure("round robin", round_robin(), upstreams, 1'000);
    }
    std::printf("\nOverload decisions, for one model\n\n"
                "| upstreams | accounts | ns a decision | bytes allocated a decision | bytes of state |\n"
                "|--:|--:|--:|--:|--:|\n");
    for (const std::size_t upstreams : {16, 150, 600}) {
        for (const std::size_t accounts : {10, 150, 1'500}) {
            measure_overload(upstreams, accounts);
        }
    }
    return 0;
}
