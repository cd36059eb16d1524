#include "dragonflymill/direct/call_dispatcher.h"
#include "statement_simulation.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

/// Four gateways before fourteen upstreams, two of which reject all calls for three seconds and push back.
auto two_push_back() -> statement_scenario
{
    statement_scenario scenario;
    scenario.upstreams = 14;
    scenario.length = 10s;
    scenario.pushback = [](int upstream, duration since_start) {
        const bool overloaded = since_start >= 3s && since_start < 6s;
        return upstream < 2 && overloaded ? duration(3s) : duration(0s);
    };
    return scenario;
}

} // namespace

// Guards against sending further calls to an upstream that has rejected one and asked for a pause: a fixed
// backoff is shorter, and an upstream that rejects at once looks idle.
Test(pushback, holds_against_new_calls_and_retries)
{
    statement_simulation simulation(two_push_back());
    simulation.run();
    cr_assert(!simulation.statements.empty());
    cr_assert(simulation.most_during_pushback() <= 2, "%d calls", simulation.most_during_pushback());
}

// Guards against sending new calls to an upstream that is still published as ready, or never published as
// draining, after it has stated in a response that it is draining.
Test(stated_drain, holds_against_new_calls)
{
    statement_scenario scenario;
    scenario.length = 8s;
    scenario.draining = [](int upstream, duration since_start) { return upstream == 0 && since_start >= 3s; };
    statement_simulation simulation(scenario);
    simulation.run();
    cr_assert(!simulation.statements.empty());
    cr_assert(simulation.calls_to_draining() == 0, "%d calls", simulation.calls_to_draining());
}
