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

Test(drain_state, the_earliest_word_counts_and_each_path_takes_back_its_own)
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

Test(drain_state, words_in_any_order_end_the_same)
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
        cr_assert(state.drained_domains() == std::vector{domain_a}, "of one number, out counts");
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
    cr_assert(state.drained_hosts().size() == 2, "hosts silent for an hour are forgotten, words are kept");
}

FAULT_CELL(drain_leave, domain_out)
{
    // Operators take a failure domain out at short notice and see no new work in it from then on.
    // Order: the command reaches this process by gossip, before any bundle says so.
    // Cause: a bundle takes seconds to sign and spread; the first word by any path counts.
    drain_state state;
    state.bundle_adopted(instant{}, bundle_with(1, true));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 1, true}));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    cr_assert(state.accepts_new_work(failure_domain_id("b"), host_id("h2")));
}

FAULT_CELL(drain_leave, host_list_lags)
{
    // Callers see no request cut off by a host that goes.
    // Order: the process says that it is leaving; the host list still shows `live` for a while.
    // Cause: the host list lags; only its `leaving` is binding.
    drain_state state;
    state.process_heard(instant{}, host_1, incarnation(5), false);
    state.process_heard(instant{} + 1s, host_1, incarnation(5), true);
    state.host_list_read(instant{} + 2s, {{host_1, false, ""}});
    cr_assert(state.status(host_1) == drained_since(1s, drain_source::own_process));
}

FAULT_CELL(drain_leave, config_down)
{
    // Operators drain a failure domain although the configuration service is down.
    // Order: no bundle can be published; the word goes from process to process.
    // Cause: a drain must not wait for the configuration service.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.drained_domains() == std::vector{domain_a});
}

FAULT_CELL(drain_leave, message_doubled)
{
    // Nobody sees anything: a word that comes again is no news and doesn't move the time.
    // Order: "out" comes twice, the second time ten seconds later.
    // Cause: gossip tells everything several times.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(!state.operator_said(instant{} + 10s, {domain_a, 1, true}));
    const auto since = state.status(domain_a)->since;
    cr_assert(since == instant{});
}

FAULT_CELL(drain_return, message_reordered)
{
    // Without the guard a failure domain would take work again that operators took out a second time.
    // Order: out, in, out again; the "in" arrives last.
    // Cause: gossip reorders; the number of a word decides, not its arrival.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 3, true}));
    cr_assert(!state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, config_stale)
{
    // Without the guard a failure domain would get work back because somebody changed an account.
    // Order: operators take it out by command; a bundle that shows it in service comes into force.
    // Cause: 320 bundles a day, each written from a source that knows nothing of the command.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    state.bundle_adopted(instant{} + 1s, bundle_with(2, true));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    state.bundle_adopted(instant{} + 2s, bundle_with(3, false));
    state.bundle_adopted(instant{} + 3s, bundle_with(2, true));
    cr_assert(state.operator_said(instant{} + 4s, {domain_a, 2, false}));
    cr_assert(!state.accepts_new_work(domain_a, host_1), "version 3 said out, and 2 is older");
}

FAULT_CELL(drain_return, host_list_lags)
{
    // Without the guard requests would go to a host that is about to vanish.
    // Order: the list says `leaving`, then a stale replica of it says `live`, then the sidecar crashes and
    // starts again while the list says `leaving`; only a start after the last `leaving` brings the host back.
    // Cause: the host list lags and is read from several replicas.
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
    // Without the guard a stopping process would get new work from a gateway that slept.
    // Order: the process says "leaving"; an "alive" of the same start, sent earlier, arrives after it.
    // Cause: a paused process sends what it had ready when it wakes.
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
    // A host that was replaced gets no work, though its new sidecar is well. The goodbye of the one before
    // was long under way and arrives after the new one was heard. It is about a start that is over.
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
    // Operators take a domain out, back, and out for good. The words arrive last one first: from the first
    // that arrives on it gets no new work, and the older ones change nothing.
    drain_state state;
    for (const std::uint64_t number : {3U, 2U, 1U}) {
        const bool news = state.operator_said(instant{} + 1s, {domain_a, number, number != 2});
        cr_assert(news == (number == 3));
        cr_assert(!state.accepts_new_work(domain_a, host_1));
    }
}

FAULT_CELL(drain_leave, config_stale)
{
    // A bundle takes a domain out. A peer that lags hands over the one before it: work would go there again.
    drain_state state;
    state.bundle_adopted(instant{}, bundle_with(7, true));
    state.bundle_adopted(instant{} + 1s, bundle_with(8, false));
    state.bundle_adopted(instant{} + 2s, bundle_with(7, true));
    cr_assert(!state.accepts_new_work(domain_a, host_1));
    cr_assert(state.status(domain_a) == drained_since(1s, drain_source::bundle));
}

FAULT_CELL(drain_leave, two_faults)
{
    // A gateway dies and starts anew while a domain is out by the operators' word, and the host list it reads
    // first still calls the domain's hosts live. The word comes from a peer; from then on the list can't undo
    // it.
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
    cr_assert(restarted.next_number(domain_a) == 5, "an operator's next word counts here as well");
}

FAULT_CELL(drain_return, process_dies)
{
    // A sidecar starts anew just after its domain came back. One peer tells it of the return, and one that
    // lags of the leaving. In either order it must take work, or the domain stays idle.
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
    // The word that a domain is back gets lost on its way to one gateway, which would leave it idle for good.
    // The word isn't told once: every process keeps it and tells it again when asked for what it knows.
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
    // The word that a domain is back comes again and again, as every peer passes it on. It is news once:
    // passed on each time, it would never stop going round.
    drain_state state;
    cr_assert(state.operator_said(instant{}, {domain_a, 1, true}));
    cr_assert(state.operator_said(instant{} + 1s, {domain_a, 2, false}));
    cr_assert(!state.operator_said(instant{} + 2s, {domain_a, 2, false}));
    cr_assert(state.accepts_new_work(domain_a, host_1));
}

FAULT_CELL(drain_return, config_down)
{
    // A domain went out by the operators' word and by a bundle; the configuration service is down when it is
    // to come back. The operators' word takes back the operators' own; the bundle's stands until a newer one
    // comes.
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
    // One domain comes back while another goes out. The word about the one must not carry the other with it,
    // nor may a host that is itself leaving come back with its domain.
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
    // A domain goes out and comes back twice in a day. The second leaving must count although the domain's
    // last word was a return, and the second return must not be taken for the first.
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
