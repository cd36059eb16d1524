#include "dragonflymill/core/random_source.h"
#include "dragonflymill/drain/drain_state.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;

namespace {

const failure_domain_id domain_a("a");
const host_id host_1("h1");

auto drained_since(duration since, drain_source by) -> std::optional<drain_status>
{
    return drain_status{instant{} + since, by};
}

auto bundle_with(std::uint64_t version, bool a_in_service) -> bundle
{
    bundle value;
    value.version = bundle_version(version);
    value.domains = {{domain_a, region_id("r"), a_in_service},
                     {failure_domain_id("b"), region_id("r"), true}};
    return value;
}

} // namespace

Test(drain_state, earliest_drain_counts_and_each_source_ends_only_its_own)
{
    drain_state state;
    cr_assert(state.accepts_new_work(domain_a, host_1));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 1, true}));
    state.bundle_adopted(instant{} + 3s, bundle_with(2, false));
    cr_assert(state.status(domain_a) == drained_since(1s, drain_source::operators));
    cr_assert(state.operator_said(instant{} + 4s, {domain_a, 2, false}));
    cr_assert(state.status(domain_a) == drained_since(3s, drain_source::bundle));
    state.bundle_adopted(instant{} + 5s, bundle_with(3, true));
    cr_assert(state.accepts_new_work(domain_a, host_1));
    cr_assert(state.next_number(domain_a) == 3);
}

Test(drain_state, notices_in_any_order_give_the_same_state)
{
    const std::vector<drain_notice> words{{domain_a, 1, true},
                                          {domain_a, 2, false},
                                          {domain_a, 3, true},
                                          {domain_a, 3, false},
                                          {host_1, 1, true}};
    random_source random(1);
    for (int round = 0; round < 200; ++round) {
        auto order = words;
        for (std::size_t at = order.size() - 1; at > 0; --at) {
            std::swap(order[at], order[random.below(at + 1)]);
        }
        drain_state state;
        for (const auto& word : order) {
            static_cast<void>(state.operator_said(instant{}, word));
        }
        cr_assert(state.drained_domains() == std::vector{domain_a}, "with equal numbers the drain must win");
        cr_assert(state.drained_hosts() == std::vector{host_1});
        cr_assert(state.words().size() == 2);
    }
}

Test(drain_state, memory_is_bounded)
{
    drain_state state({.max_hosts = 10, .max_words = 2});
    for (int number = 0; number < 100; ++number) {
        state.process_heard(instant{} + 1s * number, host_id(std::to_string(number)), incarnation(1), true);
    }
    cr_assert(state.drained_hosts().size() == 10);
    cr_assert(state.operator_said(instant{}, {host_id("x"), 1, true}));
    cr_assert(state.operator_said(instant{}, {host_id("y"), 1, true}));
    cr_assert(!state.operator_said(instant{}, {host_id("z"), 1, true}));
    state.host_list_read(instant{} + 10h, {});
    cr_assert(state.drained_hosts().size() == 2, "hosts not seen for an hour must be removed, notices kept");
}

FAULT_CELL(drain_leave, domain_out)
{
    // Guards against waiting for a bundle, which takes seconds to sign and spread: an operators' notice that
    // arrives by gossip first must drain the failure domain at once.
    drain_state state;
    state.bundle_adopted(instant{}, bundle_with(1, true));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 1, true}));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    cr_assert(state.accepts_new_work(failure_domain_id("b"), host_id("h2")));
}

FAULT_CELL(drain_leave, host_list_lags)
{
    // Guards against new work for a leaving host while the host list lags: `live` must not override the
    // process's own announcement; only `leaving` in the list is binding.
    drain_state state;
    state.process_heard(instant{}, host_1, incarnation(5), false);
    state.process_heard(instant{} + 1s, host_1, incarnation(5), true);
    state.host_list_read(instant{} + 2s, {{host_1, false, ""}});
    cr_assert(state.status(host_1) == drained_since(1s, drain_source::own_process));
}

FAULT_CELL(drain_leave, config_down)
{
    // Guards against a drain that depends on the configuration service: with the service down no bundle is
    // published, and the operators' notice alone must drain the failure domain.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.drained_domains() == std::vector{domain_a});
}

FAULT_CELL(drain_leave, message_doubled)
{
    // Guards against treating a duplicate notice as new: gossip delivers every notice several times, which
    // must not change the start time of the drain.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(!state.operator_said(instant{} + 10s, {domain_a, 1, true}));
    const auto since = state.status(domain_a)->since;
    cr_assert(since == instant{});
}

FAULT_CELL(drain_return, message_reordered)
{
    // Guards against reordered notices: the domain is drained, returned and drained again, and the return
    // arrives last. The number of a notice decides, not its arrival.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 3, true}));
    cr_assert(!state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, config_stale)
{
    // Guards against a bundle that ends an operators' drain: 320 bundles are published a day, for example for
    // an account change, from a source that doesn't know the command.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    state.bundle_adopted(instant{} + 1s, bundle_with(2, true));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    state.bundle_adopted(instant{} + 2s, bundle_with(3, false));
    state.bundle_adopted(instant{} + 3s, bundle_with(2, true));
    cr_assert(state.operator_said(instant{} + 4s, {domain_a, 2, false}));
    cr_assert(!state.accepts_new_work(domain_a, host_1),
              "version 3 drains the domain, and version 2 is older");
}

FAULT_CELL(drain_return, host_list_lags)
{
    // Guards against new work for a host that is about to be removed. The list shows `leaving`, then a stale
    // replica of it shows `live`; later the sidecar crashes and restarts while the list shows `leaving`. Only
    // an incarnation later than the last `leaving` may return the host to service.
    drain_state state;
    state.process_heard(instant{}, host_1, incarnation(5), false);
    state.host_list_read(instant{} + 1s, {{host_1, true, ""}});
    state.host_list_read(instant{} + 2s, {{host_1, false, ""}});
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    state.process_heard(instant{} + 3s, host_1, incarnation(6), false);
    state.host_list_read(instant{} + 4s, {{host_1, true, ""}});
    state.host_list_read(instant{} + 5s, {{host_1, false, ""}});
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    state.process_heard(instant{} + 6s, host_1, incarnation(7), false);
    state.host_list_read(instant{} + 7s, {{host_1, false, ""}});
    cr_assert(state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, paused_wakes_late)
{
    // Guards against new work for a stopping process: a paused process that resumes sends an older "alive" of
    // the incarnation that has announced "leaving".
    drain_state state;
    state.process_heard(instant{}, host_1, incarnation(5), true);
    state.process_heard(instant{} + 1s, host_1, incarnation(5), false);
    state.process_heard(instant{} + 2s, host_1, incarnation(4), false);
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    state.process_heard(instant{} + 3s, host_1, incarnation(6), false);
    cr_assert(state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_leave, message_late)
{
    // Guards against a replaced host that gets no work: the delayed "leaving" of the former process arrives
    // after the new process was seen, and must not apply to the new incarnation.
    drain_state state;
    state.process_heard(instant{}, host_1, incarnation(1), false);
    state.process_heard(instant{} + 1s, host_1, incarnation(2), false);
    state.process_heard(instant{} + 2s, host_1, incarnation(1), true);
    cr_assert(state.accepts_new_work(domain_a, host_1));
    state.process_heard(instant{} + 3s, host_1, incarnation(2), true);
    cr_assert(!state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_leave, message_reordered)
{
    // Guards against reordered notices: of drain, return and drain the last arrives first. It must drain the
    // domain at once, and the older ones must change nothing.
    drain_state state;
    for (const std::uint64_t number : {3U, 2U, 1U}) {
        const bool news = state.operator_said(instant{} + 1s, {domain_a, number, number != 2});
        cr_assert(news == (number == 3));
        cr_assert(!state.accepts_new_work(domain_a, host_1));
    }
}

FAULT_CELL(drain_leave, config_stale)
{
    // Guards against an older bundle from a lagging peer that would return a drained domain to service.
    drain_state state;
    state.bundle_adopted(instant{}, bundle_with(7, true));
    state.bundle_adopted(instant{} + 1s, bundle_with(8, false));
    state.bundle_adopted(instant{} + 2s, bundle_with(7, true));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    cr_assert(state.status(domain_a) == drained_since(1s, drain_source::bundle));
}

FAULT_CELL(drain_leave, two_faults)
{
    // Guards against losing an operators' drain in a gateway restart while the host list still shows the
    // domain's hosts as live: the notice is received from a peer, and the list must not end the drain.
    drain_state peer;
    cr_assert(peer.operator_said(instant{}, {domain_a, 4, true}));
    drain_state restarted;
    restarted.host_list_read(instant{} + 1s, {{host_1, false, ""}});
    for (const auto& word : peer.words()) {
        cr_assert(restarted.operator_said(instant{} + 2s, word));
    }
    restarted.host_list_read(instant{} + 3s, {{host_1, false, ""}});
    restarted.process_heard(instant{} + 3s, host_1, incarnation(9), false);
    cr_assert(!restarted.accepts_new_work(domain_a, host_1));
    cr_assert(restarted.next_number(domain_a) == 5,
              "the next notice's number must follow the replicated one");
}

FAULT_CELL(drain_return, process_dies)
{
    // Guards against an idle domain after a sidecar restart: one peer sends the return, a lagging one the
    // older drain. In either order the domain must accept work.
    for (const bool stale_first : {true, false}) {
        drain_state restarted;
        const drain_notice out{domain_a, 1, true};
        const drain_notice back{domain_a, 2, false};
        static_cast<void>(restarted.operator_said(instant{}, stale_first ? out : back));
        static_cast<void>(restarted.operator_said(instant{} + 1s, stale_first ? back : out));
        cr_assert(restarted.accepts_new_work(domain_a, host_1));
    }
}

FAULT_CELL(drain_return, message_lost)
{
    // Guards against a lost return notice, which would leave the domain idle for good: every process keeps
    // the notice and sends it again on request.
    drain_state informed;
    drain_state missed;
    for (auto* each : {&informed, &missed}) {
        cr_assert(each->operator_said(instant{}, {domain_a, 1, true}));
    }
    cr_assert(informed.operator_said(instant{} + 1s, {domain_a, 2, false}));
    cr_assert(!missed.accepts_new_work(domain_a, host_1));
    for (const auto& word : informed.words()) {
        static_cast<void>(missed.operator_said(instant{} + 60s, word));
    }
    cr_assert(missed.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, message_doubled)
{
    // Guards against endless propagation of a return notice that every peer passes on: only its first arrival
    // is new.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 2, false}));
    cr_assert(!state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, config_down)
{
    // Guards against a return that ends too much: a domain is drained by operators and by a bundle while the
    // configuration service is down. The operators' return ends only their own drain; that of the bundle
    // lasts until a newer bundle.
    drain_state state;
    state.bundle_adopted(instant{}, bundle_with(2, false));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 1, true}));
    cr_assert(state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(state.status(domain_a) == drained_since(0s, drain_source::bundle));
    state.bundle_adopted(instant{} + 3s, bundle_with(3, true));
    cr_assert(state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, domain_out)
{
    // Guards against mixing up subjects: the return of one domain must not affect the drain of another, nor
    // that of a host which is itself leaving.
    drain_state state;
    const failure_domain_id domain_b("b");
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    state.host_list_read(instant{}, {{host_1, true, ""}});
    cr_assert(state.operator_said(instant{} + 1s, {domain_b, 1, true}));
    cr_assert(state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(state.drained_domains() == std::vector{domain_b});
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    cr_assert(state.accepts_new_work(domain_a, host_id("h2")));
}

FAULT_CELL(drain_return, same_twice)
{
    // Guards against ignoring a repeated drain or return: with two drains and two returns in a day, the
    // second drain must count after a return, and the second return must not be taken for the first.
    drain_state state;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const bool out = number % 2 == 1;
        cr_assert(state.next_number(domain_a) == number);
        cr_assert(state.operator_said(instant{} + 1s * number, {domain_a, number, out}));
        cr_assert(state.accepts_new_work(domain_a, host_1) == !out);
    }
    cr_assert(!state.operator_said(instant{} + 9s, {domain_a, 3, true}));
    cr_assert(state.accepts_new_work(domain_a, host_1));
}
