#include "edge/waiting_call_factory.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

constexpr instant arrived{100s};

struct stated_request
{
    stated_request()
    {
        names.request_id = "Id";
        names.time_left_ms = "Time-Left";
        names.token_counts = "Tokens";
        names.prompt_parts = "Parts";
        request.method = "POST";
        request.fields = {{"Id", "r1"}, {"Time-Left", "4000"}, {"Tokens", "100,8"}, {"Parts", "a:40,b:60"}};
        route.services = {{"engines", 1}};
        route.time_limit = 10s;
        route.latency_target = 400ms;
        route.priority = 3;
    }

    [[nodiscard]] auto call(duration limit, duration elapsed,
                            const direct::account_rule* account = nullptr) const -> direct::waiting_call
    {
        return make_waiting_call(7, request, names, {route, account, arrived, limit, elapsed});
    }

    header_names names;
    caller_request request;
    direct::route_rule route;
};

} // namespace

Test(waiting_call_factory, takes_what_the_caller_and_the_route_state)
{
    const stated_request stated;
    cr_assert(time_limit(stated.request, stated.names, stated.route) == 4s);
    const direct::account_rule account{"acme", {"key1"}, 1};
    const direct::waiting_call call = stated.call(4s, 0s, &account);
    cr_assert(call.id == 7 && call.service == "engines" && call.priority == 1);
    cr_assert(call.prompt_tokens == 100 && call.answer_tokens == 8);
    const prompt_part request = make_prompt_part(call.fingerprint, true);
    cr_assert(call.prompt_parts.size() == 3, "those of the prompt and the request");
    cr_assert(std::binary_search(call.prompt_parts.begin(), call.prompt_parts.end(), request));
    cr_assert(call.latency_target_at == arrived + 400ms && call.deadline_at == arrived + 4s);
    cr_assert(!call.returning && call.queue_timeout_at == arrived + 500ms);
    cr_assert(stated.call(4s, 0s).priority == 3);
}

// Guards against a caller that was refused before and gives up its place once more after a moment.
Test(waiting_call_factory, lets_a_returning_caller_wait_longer)
{
    const stated_request stated;
    const direct::waiting_call call = stated.call(4s, 1s);
    cr_assert(call.returning);
    cr_assert(call.queue_timeout_at == arrived + (call.client_timeout_at - arrived) / 2);
}

// Guards against stated times and counts that overflow or are none.
Test(waiting_call_factory, bounds_what_is_stated)
{
    stated_request stated;
    stated.request.fields = {{"Time-Left", "9223372036854775807"}, {"Tokens", "many"}};
    cr_assert(time_limit(stated.request, stated.names, stated.route) == 10s);
    const direct::waiting_call call = stated.call(10s, 0s);
    cr_assert(call.prompt_tokens == 0 && call.answer_tokens == 0 && call.prompt_parts.size() == 1);
}
