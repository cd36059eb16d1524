#include "dragonflymill/gang/gang_candidates.h"
#include "dragonflymill/gang/gang_planner.h"
#include "gang/fake_share_holder.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr instant now(100s);
constexpr token_count engine_capacity = 400'000;
const gang_request large_request{request_id("dossier"), 1'000'000, 2'000};
const deadline_budget minute(now, 60s);
const attempt_number first(1);

auto candidates(std::size_t count, token_count free = engine_capacity) -> std::vector<gang_candidate>
{
    std::vector<gang_candidate> made;
    for (std::size_t i = 0; i < count; ++i) {
        const failure_domain_id domain(std::string(1, static_cast<char>('a' + i % 3)));
        made.push_back({upstream_id("u" + std::to_string(i)), domain, engine_capacity, free});
    }
    return made;
}

template <typename Output>
auto all_of(const std::vector<gang_output>& outputs) -> std::vector<Output>
{
    std::vector<Output> found;
    for (const auto& output : outputs) {
        if (const auto* each = std::get_if<Output>(&output)) {
            found.push_back(*each);
        }
    }
    return found;
}

template <typename Output>
auto only(const std::vector<gang_output>& outputs) -> Output
{
    cr_assert(outputs.size() == 1 and std::holds_alternative<Output>(outputs.front()));
    return std::get<Output>(outputs.front());
}

auto grant(const reserve_share& asked) -> share_granted
{
    return {asked.gang, asked.upstream, lease_id(1), asked.ask};
}

/// Grants every share of a gang that was just started and returns the last outputs.
auto grant_all(gang_planner& planner, std::vector<gang_output> outputs) -> std::vector<gang_output>
{
    while (outputs.size() == 1 && std::holds_alternative<reserve_share>(outputs.front())) {
        outputs = planner.step(now, grant(std::get<reserve_share>(outputs.front())));
    }
    return outputs;
}

} // namespace

Test(span_plan, plans_fewest_shares_in_one_failure_domain_in_global_order)
{
    const auto shares = plan_shares(large_request, candidates(9));
    cr_assert(shares.has_value() and shares->size() == 3);
    cr_assert(std::is_sorted(shares->begin(), shares->end(),
                             [](const auto& a, const auto& b) { return a.upstream < b.upstream; }));
    const auto all = candidates(9);
    for (const auto& share : *shares) {
        const auto of =
            std::find_if(all.begin(), all.end(), [&](const auto& c) { return c.upstream == share.upstream; });
        cr_assert(share.tokens <= engine_capacity);
        cr_assert(of->failure_domain ==
                  all[std::size_t(std::stoi(shares->front().upstream.text().substr(1)))].failure_domain);
    }
    cr_assert(plan_shares(large_request, candidates(3)).has_value(),
              "uses several domains if no single one has the capacity");
    cr_assert(not plan_shares(large_request, candidates(2)).has_value());
}

Test(span_plan, spans_cover_the_prompt_and_leave_space_for_the_answer)
{
    const auto shares = *plan_shares(large_request, candidates(9));
    const auto spans = assign_spans(large_request, shares);
    token_count place = 0;
    for (std::size_t i = 0; i < spans.size(); ++i) {
        cr_assert(spans[i].begin == place and spans[i].end > place);
        place = spans[i].end;
    }
    cr_assert(place == large_request.prompt_tokens);
    cr_assert(shares.back().tokens >= spans.back().end - spans.back().begin + large_request.max_tokens);
}

Test(gang_candidates, exclude_short_request_upstreams_and_report_drained_ones_as_full)
{
    upstream_table table;
    std::vector<upstream_description> upstreams(3);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = upstream_id("u" + std::to_string(i));
        upstreams[i].models = {model_id("m")};
        upstreams[i].memory = 500'000;
    }
    upstreams[1].takes_bulk = false;
    cr_assert(table.configure(upstreams).has_value());
    table.set_drained(upstream_id("u2"), true);
    const auto found = gang_candidates(table, model_id("m"), adapter_id(), 0.8);
    cr_assert(found.size() == 2);
    cr_assert(found[0].free == 400'000);
    cr_assert(found[1].capacity == 400'000);
    cr_assert(found[1].free == 0);
}

Test(gang_planner, requests_shares_in_order_and_is_ready_with_all)
{
    gang_planner planner(1);
    auto outputs = planner.start(now, large_request, first, minute, candidates(9));
    upstream_id last;
    for (int i = 0; i < 3; ++i) {
        const auto asked = only<reserve_share>(outputs);
        cr_assert(last < asked.upstream);
        last = asked.upstream;
        outputs = planner.step(now, grant(asked));
    }
    cr_assert(only<gang_ready>(outputs).spans.size() == 3);
    const auto released = all_of<release_share>(planner.finish(now, large_request.request));
    cr_assert(released.size() == 3);
    cr_assert(planner.gangs() == 0);
    for (const auto& each : released) {
        planner.step(now, share_released{each.gang, each.upstream});
    }
    cr_assert(planner.releases() == 0 and not planner.next_wake().has_value());
}

Test(gang_planner, limits_gangs_and_distinguishes_too_large_from_no_capacity)
{
    gang_planner planner(1);
    gang_request request = large_request;
    for (int i = 0; i < 4; ++i) {
        request.request = request_id(std::to_string(i));
        (void)planner.start(now, request, first, minute, candidates(9));
    }
    const auto refused = only<gang_failed>(planner.start(now, large_request, first, minute, candidates(9)));
    cr_assert(refused.why.code == refusal_code::overloaded and refused.why.ran == ran_state::no);
    const auto never =
        only<gang_failed>(gang_planner(1).start(now, large_request, first, minute, candidates(2)));
    cr_assert(never.why.code == refusal_code::too_large);
    cr_assert(gang_planner(1).start(now, large_request, first, minute, candidates(9, 0)).empty(),
              "waits for free capacity");
}

FAULT_CELL(gang_reserve, two_faults)
{
    // Guards against the refusal of large prompts while the engines are empty: one engine refuses the third
    // share and the two granted ones stay reserved. All must be released at once and requested again in a new
    // round.
    gang_planner planner(1);
    auto asked = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    asked = only<reserve_share>(planner.step(now, grant(asked)));
    asked = only<reserve_share>(planner.step(now, grant(asked)));
    const auto outputs = planner.step(now, share_refused{asked.gang, asked.upstream, 1s, false});
    cr_assert(all_of<release_share>(outputs).size() == 3,
              "the share that was refused has to be released, too");
    const auto again = only<reserve_share>([&] {
        auto later = planner.wake(now + 2s, candidates(9));
        std::erase_if(later, [](const auto& each) { return std::holds_alternative<release_share>(each); });
        return later;
    }());
    cr_assert(again.gang.round == attempt_number(2));
}

FAULT_CELL(gang_reserve, message_lost)
{
    // Guards against memory that stays reserved for no gang. A grant is lost and the round ends; the
    // unanswered share may have been granted, so it is released too.
    gang_planner planner(1);
    const auto asked = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    cr_assert(planner.next_wake() == now + 1s);
    const auto released = only<release_share>(planner.wake(now + 1s, candidates(9)));
    cr_assert(released.gang == asked.gang and released.upstream == asked.upstream);
}

FAULT_CELL(gang_reserve, message_late)
{
    // Guards against memory that stays reserved for no gang. A delayed reservation is granted after its
    // release was confirmed; the grant for a round that has ended is answered by another release.
    gang_planner planner(1);
    const auto asked = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    (void)planner.wake(now + 1s, candidates(9));
    planner.step(now + 1s, share_released{asked.gang, asked.upstream});
    const auto released = only<release_share>(planner.step(now + 2s, grant(asked)));
    cr_assert(released.gang == asked.gang);
    cr_assert(planner.releases() == 1);
}

FAULT_CELL(gang_reserve, paused_wakes_late)
{
    // Guards against an answer on spans that the engines have dropped. The gateway is paused for longer than
    // a hold between the first and the last grant, so that its first shares have expired.
    gang_planner planner(1);
    auto asked = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    asked = only<reserve_share>(planner.step(now, grant(asked)));
    const auto outputs = planner.step(now + 11s, grant(asked));
    cr_assert(all_of<gang_ready>(outputs).empty() and all_of<reserve_share>(outputs).empty());
    cr_assert(all_of<release_share>(outputs).size() == 2);
}

FAULT_CELL(gang_decode, paused_wakes_late)
{
    // Guards against decoding on expired shares. The gateway of a ready gang is paused until its shares have
    // expired.
    gang_planner planner(1);
    (void)grant_all(planner, planner.start(now, large_request, first, minute, candidates(9)));
    const auto outputs = planner.wake(now + 11s, candidates(9));
    cr_assert(all_of<gang_failed>(outputs).size() == 1);
    cr_assert(all_of<gang_failed>(outputs).front().why.ran == ran_state::unknown);
    cr_assert(all_of<renew_share>(outputs).empty());
}

FAULT_CELL(gang_decode, message_late)
{
    // Guards against decoding on expired shares. Renewals are lost, and a duplicated grant of the reservation
    // arrives late; it must not count as a renewal.
    gang_planner planner(1);
    const auto outputs = planner.start(now, large_request, first, minute, candidates(9));
    const auto asked = only<reserve_share>(outputs);
    (void)grant_all(planner, outputs);
    cr_assert(all_of<renew_share>(planner.wake(now + 4s, candidates(9))).size() == 3);
    (void)planner.step(now + 9s, grant(asked));
    cr_assert(all_of<gang_failed>(planner.wake(now + 10s, candidates(9))).size() == 1);
}

FAULT_CELL(gang_decode, process_dies)
{
    // Guards against two engines that keep the spans of a failed gang. The third engine dies during decoding:
    // its loss must release the other shares and report that the answer can be resumed.
    gang_planner planner(1);
    const auto ready =
        only<gang_ready>(grant_all(planner, planner.start(now, large_request, first, minute, candidates(9))));
    const auto outputs = planner.upstream_gone(now, ready.spans[1].upstream);
    cr_assert(all_of<release_share>(outputs).size() == 3);
    cr_assert(all_of<gang_failed>(outputs).front().why.code == refusal_code::upstream_gone);
    cr_assert(planner.gangs() == 0);
}

FAULT_CELL(gang_import, process_dies)
{
    // Guards against failing a request while there is capacity elsewhere. An engine with a granted share dies
    // before all shares are held: only the round ends, and the next one starts without that engine.
    gang_planner planner(1);
    const auto asked = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    (void)planner.step(now, grant(asked));
    const auto outputs = planner.upstream_gone(now, asked.upstream);
    cr_assert(all_of<release_share>(outputs).size() == 2 and all_of<gang_failed>(outputs).empty());
    auto fewer = candidates(9);
    std::erase_if(fewer, [&](const auto& each) { return each.upstream == asked.upstream; });
    const auto next = all_of<reserve_share>(planner.wake(now + 200ms, fewer));
    cr_assert(next.size() == 1 and next.front().upstream != asked.upstream);
}

FAULT_CELL(gang_release, message_lost)
{
    // Guards against memory that stays reserved until the engine restarts. The release of a gang is lost; it
    // is repeated until it is confirmed or the hold must have expired.
    gang_planner planner(1);
    (void)grant_all(planner, planner.start(now, large_request, first, minute, candidates(9)));
    cr_assert(all_of<release_share>(planner.finish(now, large_request.request)).size() == 3);
    cr_assert(all_of<release_share>(planner.wake(now + 500ms, {})).size() == 3);
    cr_assert(all_of<release_share>(planner.wake(now + 1s, {})).size() == 3);
    cr_assert(planner.wake(now + 11s, {}).empty() and planner.releases() == 0);
}

FAULT_CELL(gang_reserve, same_twice)
{
    // Guards against a request that waits without limit while round after round is refused. It fails within
    // its deadline with ran `no`.
    gang_planner planner(1);
    auto outputs = planner.start(now, large_request, first, minute, candidates(9));
    instant time = now;
    int rounds = 0;
    while (all_of<gang_failed>(outputs).empty()) {
        const auto asked = all_of<reserve_share>(outputs);
        if (!asked.empty()) {
            outputs =
                planner.step(time, share_refused{asked.front().gang, asked.front().upstream, 100ms, false});
            ++rounds;
            continue;
        }
        time = *planner.next_wake();
        outputs = planner.wake(time, candidates(9));
    }
    cr_assert(all_of<gang_failed>(outputs).front().why.ran == ran_state::no);
    cr_assert(time <= now + 60s);
    // A grown backoff is at least half of its maximum, which bounds the number of rounds in a minute.
    cr_assert(rounds > 5 and rounds < 130);
}

FAULT_CELL_MORE(gang_reserve, same_twice, in_line)
{
    // Guards against starvation of a gang that could only use memory that is free at the moment, since long
    // prompts take it first. Its second share is queued: the first one is renewed meanwhile, and the second
    // one is requested again until it is granted.
    gang_planner planner(1);
    const auto held = only<reserve_share>(planner.start(now, large_request, first, minute, candidates(9)));
    auto asked = only<reserve_share>(planner.step(now, grant(held)));
    cr_assert(planner.step(now, share_refused{asked.gang, asked.upstream, 0s, true}).empty());
    instant time = now;
    std::size_t renewed = 0;
    for (int i = 0; i < 20; ++i) {
        time = *planner.next_wake();
        const auto outputs = planner.wake(time, candidates(9));
        cr_assert(all_of<release_share>(outputs).empty());
        for (const auto& each : all_of<renew_share>(outputs)) {
            cr_assert(each.upstream == held.upstream);
            ++renewed;
            (void)planner.step(time, share_granted{each.gang, each.upstream, each.lease, each.ask});
        }
        for (const auto& each : all_of<reserve_share>(outputs)) {
            cr_assert(each.upstream == asked.upstream and each.ask > asked.ask);
            asked = each;
            (void)planner.step(time, share_refused{each.gang, each.upstream, 0s, true});
        }
    }
    cr_assert(renewed >= 3 and time > now + 11s, "the queued wait has to exceed one hold");
    const auto next = planner.step(time, grant(asked));
    cr_assert(all_of<reserve_share>(next).size() == 1, "expected the request for the third share");
}
