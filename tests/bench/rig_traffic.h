#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/overload/overload_policy.h"
#include "dragonflymill/route/route_request.h"
#include "dragonflymill/serve/gateway_messages.h"
#include "rig_engine.h"

#include <cmath>
#include <set>
#include <string>

namespace dragonflymill::rig {

/// Prompt length bucket; buckets are reported separately.
struct length_bucket
{
    const char* name;   ///< Name in tables.
    token_count tokens; ///< Nominal length.
    double part;        ///< Fraction of the requests.
    duration limit;     ///< Deadline of a complete response.
};

/// Two percent of the requests exceed 100,000 tokens.
inline constexpr std::array<length_bucket, 6> buckets{{{"1 k", 1'000, 0.50, 30s},
                                                       {"4 k", 4'000, 0.28, 30s},
                                                       {"16 k", 16'000, 0.14, 45s},
                                                       {"64 k", 64'000, 0.06, 60s},
                                                       {"256 k", 256'000, 0.019, 120s},
                                                       {"1 M", 1'000'000, 0.001, 300s}}};

/// Number of buckets with short requests; they come first.
inline constexpr std::size_t short_buckets = 2;

/// One request of the generated traffic.
struct rig_request
{
    std::uint32_t id = 0;                           ///< Index of the request.
    std::size_t bucket = 0;                         ///< Index of the length bucket.
    instant arrival;                                ///< Arrival time.
    token_count prompt = 0;                         ///< Prompt length in tokens.
    token_count output = 0;                         ///< Response length in tokens.
    std::uint64_t document = 0;                     ///< Identifies the prompt; equal for equal prompts.
    std::uint64_t prefix = 0;                       ///< Identifies a shared prefix; 0 for none.
    token_count prefix_tokens = 0;                  ///< Length of the shared prefix in tokens.
    work_priority priority = work_priority::normal; ///< Priority of the request.
    client_account_id account;                      ///< Client account.
    bool large_account = false; ///< Whether the account is one of the three that send 60 % of the requests.
    duration limit{0};          ///< Time from arrival to the deadline.
};

/// Engine time in microseconds to prefill `tokens` tokens after the first `begin`.
inline auto work_of(const engine_settings& engine, token_count begin, token_count tokens) -> double
{
    const auto count = static_cast<double>(tokens);
    const double steps = std::ceil(count / static_cast<double>(engine.chunk));
    const double depth = 1.0 + (static_cast<double>(begin) + count / 2.0) / engine.depth_doubling;
    const duration step = engine.step + 10 * engine.step_per_request;
    return steps * static_cast<double>(step.count()) + count / engine.prefill_rate * 1e6 * depth;
}

/// Minimum engine time of the requests in microseconds, with every prefix that occurred before cached.
inline auto least_work(const engine_settings& engine, const std::vector<rig_request>& requests) -> double
{
    std::set<std::uint64_t> seen;
    double work = 0.0;
    for (const auto& each : requests) {
        const bool again = !seen.insert(each.document).second;
        const bool known = each.prefix != 0 && !seen.insert(each.prefix).second;
        const token_count cached = again ? each.prompt - 1 : known ? each.prefix_tokens : 0;
        work += work_of(engine, cached, each.prompt - cached);
    }
    return work;
}

/// Generates `count` requests with random arrivals, one per second on average.
inline auto make_requests(std::uint64_t seed, std::size_t count) -> std::vector<rig_request>
{
    random_source random(seed);
    std::vector<rig_request> requests;
    double at = 0.0;
    while (requests.size() < count) {
        at += -std::log(1.0 - random.unit());
        rig_request each;
        each.id = static_cast<std::uint32_t>(requests.size());
        each.arrival = instant(duration(static_cast<duration::rep>(at * 1e6)));
        double drawn = random.unit();
        while (each.bucket + 1 < buckets.size() && drawn >= buckets[each.bucket].part) {
            drawn -= buckets[each.bucket++].part;
        }
        const auto& bucket = buckets[each.bucket];
        each.prompt =
            static_cast<token_count>(static_cast<double>(bucket.tokens) * (0.75 + 0.25 * random.unit()));
        each.output = 40 + static_cast<token_count>(random.below(400));
        each.document = random.next() | 1U;
        const bool again = random.chance(0.2);
        const std::uint64_t which = random.below(8);
        if (again && (each.bucket == 3 || each.bucket == 4)) {
            // One of a few documents that recur in many requests.
            each.document = stable_hash(std::to_string(each.bucket * 100 + which));
            each.prompt = bucket.tokens - static_cast<token_count>(which) * bucket.tokens / 40;
        }
        const std::uint64_t shared = random.below(40);
        if (random.chance(0.6) && each.bucket < 3) {
            each.prefix = stable_hash("prefix" + std::to_string(shared));
            each.prefix_tokens = std::min<token_count>(256 * (1 + token_count(shared % 4)), each.prompt - 1);
        }
        const double urgency = random.unit();
        const bool is_short = each.bucket < short_buckets;
        each.priority = urgency < (is_short ? 0.6 : 0.2)   ? work_priority::urgent
                        : urgency < (is_short ? 1.0 : 0.9) ? work_priority::normal
                                                           : work_priority::overnight;
        each.limit = each.priority == work_priority::overnight ? duration(600s) : bucket.limit;
        const std::uint64_t account = random.below(10) < 6 ? random.below(3) : 3 + random.below(17);
        each.large_account = account < 3;
        each.account = client_account_id("account" + std::to_string(account));
        requests.push_back(each);
    }
    return requests;
}

/// Generates `count` requests whose arrival rate is scaled so that their minimum work is the fraction `load`
/// of the capacity of `engines` engines.
inline auto make_traffic(std::uint64_t seed, std::size_t count, double load, std::size_t engines,
                         const engine_settings& engine) -> std::vector<rig_request>
{
    auto requests = make_requests(seed, count);
    const double time = least_work(engine, requests) / static_cast<double>(engines) / load;
    const double stretch = time / static_cast<double>(requests.back().arrival.time_since_epoch().count());
    for (auto& each : requests) {
        const auto at = static_cast<double>(each.arrival.time_since_epoch().count());
        each.arrival = instant(1s + duration(static_cast<duration::rep>(at * stretch)));
    }
    return requests;
}

/// Converts a request to the input of the router.
inline auto routed(const rig_request& request) -> route_request
{
    route_request made;
    made.id = request_id(std::to_string(request.id));
    made.model = model_id("m");
    made.prompt_tokens = request.prompt;
    made.max_tokens = request.output;
    const auto count =
        std::min<std::size_t>(static_cast<std::size_t>(request.prompt / block_tokens), max_prompt_blocks);
    made.blocks.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const bool in_prefix = static_cast<token_count>(i + 1) * block_tokens <= request.prefix_tokens;
        made.blocks.push_back((in_prefix ? request.prefix : request.document) * 0x9e3779b97f4a7c15ULL + i);
    }
    return made;
}

/// Converts a request to the input of the gateway's dispatchers.
inline auto asked(const rig_request& request) -> gateway_input::completion_arrived
{
    gateway_input::completion_arrived made;
    made.exchange = exchange_number(request.id);
    made.request = request_id(std::to_string(request.id));
    made.account = request.account;
    made.model = model_id("m");
    made.request_priority = request.priority == work_priority::urgent   ? priority::doorstep
                            : request.priority == work_priority::normal ? priority::standard
                                                                        : priority::overnight;
    made.prompt_tokens = request.prompt;
    made.max_tokens = request.output;
    made.time_limit = request.limit;
    return made;
}

/// Bundle entry of engine `i`.
inline auto describe(const engine_settings& engine, std::size_t i) -> upstream_description
{
    upstream_description made;
    made.id = upstream_id((i < 10 ? "u0" : "u") + std::to_string(i));
    made.failure_domain = failure_domain_id(std::string(1, static_cast<char>('a' + i % 3)));
    made.region = region_id("r");
    made.models = {model_id("m")};
    made.memory = engine.memory;
    made.prefill_rate = engine.prefill_rate;
    made.prefill_chunk = engine.chunk;
    made.decode_step = engine.step;
    made.decode_step_growth = engine.step_per_request;
    return made;
}

} // namespace dragonflymill::rig
