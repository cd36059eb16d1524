#pragma once

#include "dragonflymill/route/upstream_table.h"

#include <string>
#include <variant>
#include <vector>

namespace dragonflymill::test {

/// Upstreams u00, u01, ... in the failure domains a, b and c in turn, all serving the model m.
inline auto make_upstreams(std::size_t count) -> std::vector<upstream_description>
{
    std::vector<upstream_description> upstreams;
    upstreams.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        upstream_description each;
        each.id = upstream_id(std::string(i < 10 ? "u0" : "u") + std::to_string(i));
        each.failure_domain = failure_domain_id(std::string(1, static_cast<char>('a' + i % 3)));
        each.region = region_id("r");
        each.models = {model_id("m")};
        each.memory = 500'000;
        upstreams.push_back(each);
    }
    return upstreams;
}

/// Upstream table with `count` upstreams.
inline auto make_table(std::size_t count) -> upstream_table
{
    upstream_table table;
    (void)table.configure(make_upstreams(count)).has_value();
    return table;
}

/// Request for the model m with `prompt` prompt tokens.
inline auto make_request(const std::string& name, token_count prompt) -> route_request
{
    route_request request;
    request.id = request_id(name);
    request.model = model_id("m");
    request.prompt_tokens = prompt;
    request.max_tokens = 100;
    return request;
}

/// Load report with `tokens` of queued prefill of one class, measured `age` before it is received.
inline auto queued_load(length_class size, token_count tokens, duration age = duration::zero())
    -> upstream_load
{
    upstream_load load;
    load.queued_prefill[index_of(size)] = tokens;
    load.age = age;
    load.start = incarnation(1);
    return load;
}

/// Time `after` the start of a test.
inline auto at(duration after) -> instant
{
    return instant(after + std::chrono::seconds(100));
}

} // namespace dragonflymill::test
