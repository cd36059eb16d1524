#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

/// Returns a bundle whose one account may have `in_flight` requests in flight.
auto bundle_for(std::uint32_t in_flight) -> bundle
{
    auto made = small_bundle();
    made.accounts[0].max_in_flight = in_flight;
    return made;
}

auto refusal_of(const std::vector<gateway_action>& actions) -> refusal
{
    const auto* refused = find<gateway_output::refuse>(actions);
    cr_assert(refused != nullptr);
    return refused->why;
}

} // namespace

FAULT_CELL(request_intake, paused_wakes_late)
{
    // A gateway reads a booking and is paused for a minute, longer than its time limit. Starting the call
    // with its full limit on wake-up would make a booking that its caller has given up. It must be refused at
    // once as "not run".
    gateway_core core(start, options());
    adopt(core, bundle_for(1));
    auto late = booking(1, "key");
    late.waited = 60s;
    const auto call = core.step(start, late);
    cr_assert(find<gateway_output::call_service>(call) == nullptr);
    cr_assert(refusal_of(call).code == refusal_code::deadline);
    cr_assert(refusal_of(call).ran == ran_state::no);
    auto late_request = asked(2);
    late_request.waited = 60s;
    cr_assert(refusal_of(core.step(start, late_request)).ran == ran_state::no);
    late_request = asked(3);
    late_request.waited = 4s;
    const auto in_time = core.step(start, late_request);
    cr_assert(find<gateway_output::open_attempt>(in_time)->spec.remaining == 6s);
}

FAULT_CELL(request_intake, config_down)
{
    // A request arrives at a gateway that has just started while the configuration service is down. It must
    // be refused at once as "not run" with a time to retry after, and be served as soon as a peer has sent
    // the bundle.
    gateway_core core(start, options());
    const auto early = refusal_of(core.step(start, asked(1)));
    cr_assert(early.code == refusal_code::not_ready);
    cr_assert(early.ran == ran_state::no);
    cr_assert(early.retry_after > duration::zero());
    cr_assert(refusal_of(core.step(start, booking(2, "key"))).code == refusal_code::not_ready);
    adopt(core, small_bundle());
    open(core, 3);
}

FAULT_CELL(request_intake, config_stale)
{
    // A new bundle removes an account while its request runs. The answer must be completed; the account's
    // next request is refused as "not run".
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto running = open(core, 1);
    auto without = small_bundle();
    without.version = bundle_version(2);
    without.accounts.clear();
    feed(core, start, gateway_input::bundle_adopted{std::make_shared<const bundle>(without)});
    cr_assert(refusal_of(core.step(start, asked(2))).ran == ran_state::no);
    const auto ended = core.step(start, gateway_input::attempt_finished{running.key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(core.in_flight() == 0);
}

FAULT_CELL(request_intake, domain_out)
{
    // Operators drain the gateway's own failure domain. Requests that the load balancer still sends here must
    // be served by engines of the other domains.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    feed(core, start, gateway_input::drains_changed{{failure_domain_id("d1")}, {}});
    for (std::uint64_t i = 1; i <= 20; ++i) {
        cr_assert(open(core, i).upstream != upstream_id("e1"));
    }
}

FAULT_CELL(request_intake, upstream_cold)
{
    // After a power cut every engine is cold and at its limit. Callers must be refused at once, not at their
    // time limit, and their account's slot must be released.
    gateway_core core(start, options());
    adopt(core, bundle_for(1));
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        gateway_input::load_reported report{upstream_id("e" + std::to_string(i)), {}};
        report.load.cold = true;
        report.load.allowed = 100;
        report.load.outstanding = 100;
        feed(core, start, report);
    }
    for (std::uint64_t i = 1; i <= 5; ++i) {
        const auto why = refusal_of(core.step(start, asked(i)));
        cr_assert(why.code == refusal_code::upstream_cold);
        cr_assert(why.ran == ran_state::no);
        cr_assert(why.retry_after > duration::zero());
    }
}

FAULT_CELL(request_intake, message_doubled)
{
    // A client repeats a request after receiving nothing. Each copy must be answered from its own attempt:
    // the end of one must neither end the other nor release the account's slot twice.
    gateway_core core(start, options());
    adopt(core, bundle_for(2));
    const auto first = open(core, 1);
    const auto second = open(core, 2);
    const auto ended = core.step(start, gateway_input::attempt_finished{first.key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(ended)->exchange == exchange_number(1));
    feed(core, start, gateway_input::attempt_finished{first.key, 0, "stop"});
    cr_assert(core.in_flight() == 1);
    open(core, 3);
    cr_assert(refusal_of(core.step(start, asked(4))).code == refusal_code::account_limit);
    const auto other = core.step(start, gateway_input::attempt_finished{second.key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(other)->exchange == exchange_number(2));
}

FAULT_CELL(request_intake, partition)
{
    // All callers of this gateway disconnect at once. Their work must be cancelled and their account's slots
    // released; the disconnect of a caller that was already refused must change nothing.
    gateway_core core(start, options());
    adopt(core, bundle_for(3));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        open(core, i);
    }
    cr_assert(refusal_of(core.step(start, asked(4))).code == refusal_code::account_limit);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        const auto left = core.step(start, gateway_input::caller_left{exchange_number(i)});
        cr_assert((find<gateway_output::cancel_attempt>(left) != nullptr) == (i <= 3));
    }
    cr_assert(core.in_flight() == 0);
    for (std::uint64_t i = 5; i <= 7; ++i) {
        open(core, i);
    }
}

FAULT_CELL(request_intake, two_faults)
{
    // A gateway at its maximum of requests is stopped, and an engine dies. New requests must be refused at
    // once as "not run"; the two in flight must get their whole answers before the process ends.
    auto bounded = options();
    bounded.max_requests = 2;
    gateway_core core(start, bounded);
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    const auto second = open(core, 2);
    feed(core, start, gateway_input::stop_requested{});
    const auto why = refusal_of(core.step(start, asked(3)));
    cr_assert(why.code == refusal_code::overloaded);
    cr_assert(why.ran == ran_state::no);
    cr_assert(why.retry_after > duration::zero());
    const auto again = core.step(start, lost(first.key));
    const auto* resumed = find<gateway_output::open_attempt>(again);
    cr_assert(resumed != nullptr);
    const auto key = resumed->key;
    feed(core, start, gateway_input::attempt_finished{second.key, 0, "stop"});
    const auto last = core.step(start, gateway_input::attempt_finished{key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(last) != nullptr);
    cr_assert(find<gateway_output::all_done>(last) != nullptr);
}

FAULT_CELL(request_intake, same_twice)
{
    // A gateway is filled to its maximum, empties, and is filled again. It must accept as many each time: a
    // slot that isn't released would be lost until the next start.
    auto bounded = options();
    bounded.max_requests = 2;
    gateway_core core(start, bounded);
    adopt(core, bundle_for(2));
    for (std::uint64_t round = 0; round < 3; ++round) {
        const auto first = open(core, round * 3 + 1);
        open(core, round * 3 + 2);
        cr_assert(refusal_of(core.step(start, asked(round * 3 + 3))).ran == ran_state::no);
        feed(core, start, gateway_input::attempt_finished{first.key, 0, "stop"});
        feed(core, start, gateway_input::caller_left{exchange_number(round * 3 + 2)});
    }
}

FAULT_CELL(request_limit, same_twice)
{
    // A caller's disconnect is reported twice. The account's slot must be released once; otherwise each such
    // report lets the account exceed its limit by one request.
    gateway_core core(start, options());
    adopt(core, bundle_for(2));
    open(core, 1);
    open(core, 2);
    feed(core, start, gateway_input::caller_left{exchange_number(1)});
    feed(core, start, gateway_input::caller_left{exchange_number(1)});
    open(core, 3);
    cr_assert(refusal_of(core.step(start, asked(4))).code == refusal_code::account_limit);
}

FAULT_CELL(request_limit, domain_out)
{
    // The failure domain of an account's only permitted request is drained. The request must continue in
    // another domain in the same slot, and its end must free that slot.
    gateway_core core(start, options());
    adopt(core, bundle_for(1));
    const auto first = open(core, 1);
    const auto number = first.upstream.text().substr(1);
    feed(core, start, gateway_input::drains_changed{{failure_domain_id("d" + number)}, {}});
    const auto again = core.step(start, lost(first.key));
    const auto* second = find<gateway_output::open_attempt>(again);
    cr_assert(second != nullptr);
    cr_assert(second->upstream != first.upstream);
    const auto key = second->key;
    cr_assert(refusal_of(core.step(start, asked(2))).code == refusal_code::account_limit);
    feed(core, start, gateway_input::attempt_finished{key, 0, "stop"});
    open(core, 3);
}

FAULT_CELL(request_limit, config_stale)
{
    // A new bundle lowers an account's limit after its share was leased under the older one. The gateway must
    // apply the newer limit, since a share is a fraction and not a number of requests.
    gateway_core core(start, options());
    adopt(core, bundle_for(10));
    open(core, 1);
    feed(core, start, gateway_input::tick{});
    const share_grant granted{client_account_id("a"), process_id("g1"), true, 1.0, 6s};
    feed(core, start, gateway_input::shares_granted{{granted}, start});
    open(core, 2);
    auto lower = bundle_for(2);
    lower.version = bundle_version(2);
    feed(core, start, gateway_input::bundle_adopted{std::make_shared<const bundle>(lower)});
    cr_assert(refusal_of(core.step(start, asked(3))).code == refusal_code::account_limit);
}

FAULT_CELL_MORE(request_dispatch, process_dies, all_sidecars)
{
    // The sidecars of a model are lost one after the other before the prompt is sent to any of them. The
    // refusal of a lost connection used to carry no time, so the caller was refused as "not run" without a
    // time to retry after.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    auto actions = core.step(start, asked(1));
    const gateway_output::refuse* refused = nullptr;
    for (auto now = start; now < start + 9s && refused == nullptr; now += 100ms) {
        if (const auto* opened = find<gateway_output::open_attempt>(actions)) {
            const auto key = opened->key;
            actions = core.step(now, gateway_input::attempt_broken{key, false});
        }
        else {
            actions = core.step(now, gateway_input::tick{});
        }
        refused = find<gateway_output::refuse>(actions);
    }
    cr_assert(refused != nullptr);
    cr_assert(refused->why.ran == ran_state::no);
    cr_assert(refused->why.retry_after > duration::zero());
}
