#include "route/route_fixture.h"
#include "support/fault_cell.h"

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

const upstream_id u0("u00");
const upstream_id u1("u01");

auto candidate_names(const upstream_table& table, const route_request& request) -> std::vector<std::string>
{
    candidate_list list;
    table.candidates(request, list);
    std::vector<std::string> found;
    for (const auto* record : list.upstreams) {
        found.push_back(record->description().id.text());
    }
    return found;
}

auto obstacle(const upstream_table& table, const route_request& request) -> refusal_code
{
    candidate_list list;
    table.candidates(request, list);
    cr_assert(list.upstreams.empty());
    return list.obstacle;
}

auto make_work(const std::string& name, token_count prefill) -> dispatched_work
{
    return {request_id(name), attempt_number(1), length_class::interactive, prefill, prefill, 100ms};
}

} // namespace

Test(upstream_table, refuses_more_than_its_bound_and_doubled_names)
{
    upstream_table table({2, 500ms, 4});
    cr_assert(table.configure(make_upstreams(3)).error().kind() == error_kind::limit_reached);
    auto duplicated = make_upstreams(1);
    duplicated.push_back(duplicated.front());
    cr_assert(table.configure(duplicated).error().kind() == error_kind::invalid_input);
    cr_assert(table.records().empty());
}

Test(upstream_table, offers_only_what_serves_model_and_adapter_and_is_large_enough)
{
    auto upstreams = make_upstreams(3);
    upstreams[1].models = {model_id("other")};
    upstreams[2].adapters = {adapter_id("lacquer")};
    upstream_table table;
    cr_assert(table.configure(upstreams).has_value());
    route_request request = make_request("r", 1'000);
    cr_assert(candidate_names(table, request) == std::vector<std::string>({"u00", "u02"}));
    request.adapter = adapter_id("lacquer");
    cr_assert(candidate_names(table, request) == std::vector<std::string>({"u02"}));
    request.prompt_tokens = 600'000;
    cr_assert(obstacle(table, request) == refusal_code::too_large);
    request.model = model_id("none");
    cr_assert(obstacle(table, request) == refusal_code::no_route);
}

Test(upstream_table, keeps_what_it_knows_over_a_new_configuration)
{
    upstream_table table = make_table(2);
    table.report(at(0s), u1, queued_load(length_class::interactive, 7));
    cr_assert(table.configure(make_upstreams(3)).has_value());
    cr_assert(table.find(u1)->queued(length_class::interactive) == 7);
    cr_assert(table.records().size() == 3);
}

Test(upstream_table, asks_for_old_load_words_oldest_first_and_not_twice)
{
    upstream_table table({8, 500ms, 1});
    cr_assert(table.configure(make_upstreams(2)).has_value());
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    table.report(at(1s), u1, queued_load(length_class::interactive, 0));
    cr_assert(table.probes_due(at(1'600ms)) == std::vector<upstream_id>(1, u0));
    cr_assert(table.probes_due(at(1'600ms)) == std::vector<upstream_id>(1, u1));
    cr_assert(table.probes_due(at(1'700ms)).empty());
}

Test(upstream_record, own_work_is_bounded_and_ended_work_makes_room)
{
    upstream_record record(make_upstreams(1).front());
    for (std::size_t i = 0; i < upstream_record::max_in_flight; ++i) {
        cr_assert(record.sent(at(0s), make_work(std::to_string(i), 1)));
    }
    cr_assert(not record.sent(at(0s), make_work("one more", 1)));
    record.finished(at(1s), request_id("7"), attempt_number(1));
    cr_assert(record.sent(at(1s), make_work("one more", 1)));
    cr_assert(record.own_in_flight() == static_cast<std::int64_t>(upstream_record::max_in_flight));
}

Test(upstream_record, work_that_waits_holds_no_memory_and_work_that_decodes_does)
{
    upstream_record record(make_upstreams(1).front());
    const dispatched_work large{request_id("r"), attempt_number(1), length_class::bulk,
                                400'000,         400'000,           10s};
    cr_assert(record.sent(at(0s), large));
    cr_assert(record.memory_free() == 500'000,
              "else short requests would avoid an engine that has room for them");
    record.first_token(at(1s), large.request, large.attempt);
    cr_assert(record.memory_free() == 100'000);
    record.finished(at(2s), large.request, large.attempt);
    cr_assert(record.memory_free() == 500'000);
}

FAULT_CELL(request_route, message_late)
{
    // A caller's short question waits behind work that its gateway itself sent a moment ago. The gateway
    // sends a long prefill, then an older load word comes in that can't know of it. Cause: load words lag.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 1'000));
    cr_assert(table.sent(at(100ms), u0, make_work("r", 3'000)));
    table.report(at(200ms), u0, queued_load(length_class::interactive, 1'000, 150ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 4'000);
    table.report(at(300ms), u0, queued_load(length_class::interactive, 3'500, 50ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 3'500, "now the word covers it");
    table.first_token(at(400ms), u0, request_id("r"), attempt_number(1));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 500, "done after the word was measured");
}

FAULT_CELL(request_route, message_doubled)
{
    // A caller waits at a busy engine that its gateway takes for idle. The load word of an idle moment is
    // delivered twice, the second time after the word of the busy moment. Cause: the network doubles and
    // delays.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    table.report(at(100ms), u0, queued_load(length_class::interactive, 9'000));
    table.report(at(200ms), u0, queued_load(length_class::interactive, 0, 200ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 9'000);
}

FAULT_CELL(request_route, message_lost)
{
    // Every caller of a gateway is sent to the one engine whose word of being idle came last, and no newer
    // one comes through. Own work in flight must count by itself. Cause: load words are lost.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    for (int i = 0; i < 10; ++i) {
        cr_assert(table.sent(at(1s), u0, make_work(std::to_string(i), 1'000)));
    }
    cr_assert(table.find(u0)->queued(length_class::interactive) == 10'000);
}

FAULT_CELL(request_route, domain_out)
{
    // A household's request is cut off in a failure domain that operators took out a minute before. The word
    // comes, then the bundle changes, then the domain's engines report that they are idle. Cause: one of
    // these undoes the word.
    upstream_table table = make_table(4);
    table.set_drained(failure_domain_id("a"), true);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>({"u01", "u02"}));
    cr_assert(table.configure(make_upstreams(7)).has_value());
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    cr_assert(candidate_names(table, make_request("r", 10)) ==
              std::vector<std::string>({"u01", "u02", "u04", "u05"}));
    table.set_drained(failure_domain_id("a"), false);
    cr_assert(candidate_names(table, make_request("r", 10)).size() == 7);
}

FAULT_CELL(drain_leave, domain_out)
{
    // A caller is told "no route" while all engines are only taken out for a while, and gives up for good.
    // All failure domains are taken out one after the other. Cause: the refusal names the wrong reason.
    upstream_table table = make_table(3);
    for (const char* domain : {"a", "b", "c"}) {
        table.set_drained(failure_domain_id(domain), true);
    }
    cr_assert(obstacle(table, make_request("r", 10)) == refusal_code::draining);
}

FAULT_CELL(drain_leave, host_list_lags)
{
    // A request is sent to an engine that is leaving: its sidecar said so, the host list does not yet. Cause:
    // the host list lags behind; the first word of leaving has to count, and membership's word too.
    upstream_table table = make_table(2);
    upstream_load leaving = queued_load(length_class::interactive, 0);
    leaving.draining = true;
    table.report(at(0s), u0, leaving);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>({"u01"}));
    table.set_state(u1, upstream_state::leaving);
    cr_assert(obstacle(table, make_request("r", 10)) == refusal_code::draining);
}

FAULT_CELL(drain_return, message_late)
{
    // An engine that came back gets no work, or one that was taken out by name is used because its domain is
    // back. Engine and domain are taken out, and only the domain is brought back. Cause: the two words are
    // mixed up.
    upstream_table table = make_table(3);
    table.set_drained(u0, true);
    table.set_drained(failure_domain_id("a"), true);
    table.set_drained(failure_domain_id("a"), false);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>({"u01", "u02"}));
    table.set_drained(u0, false);
    cr_assert(candidate_names(table, make_request("r", 10)).size() == 3);
}

FAULT_CELL(request_route, process_dies)
{
    // Requests fail one after the other at an engine that has died. Membership calls it suspect, then dead.
    // Cause: a suspect is chosen while healthy ones are there, or a dead one at all.
    upstream_table table = make_table(2);
    table.set_state(u0, upstream_state::suspect);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>({"u01"}));
    table.set_state(u1, upstream_state::dead);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>{"u00"},
              "a suspect is better than none");
    table.set_state(u0, upstream_state::dead);
    cr_assert(obstacle(table, make_request("r", 10)) == refusal_code::upstream_gone);
}

FAULT_CELL(request_route, upstream_cold)
{
    // An engine that just started falls over. Its ramp allows 2,000 tokens, 1,500 are granted, and a gateway
    // sends two more requests before the next load word. Cause: the gateway does not count what it sent since
    // the word.
    upstream_table table = make_table(1);
    upstream_load cold = queued_load(length_class::interactive, 0);
    cold.cold = true;
    cold.allowed = 2'000;
    cold.outstanding = 1'500;
    table.report(at(0s), u0, cold);
    cr_assert(candidate_names(table, make_request("r", 400)).size() == 1);
    cr_assert(table.sent(at(10ms), u0, make_work("r", 400)));
    cr_assert(obstacle(table, make_request("s", 400)) == refusal_code::upstream_cold);
}

FAULT_CELL(request_route, same_twice)
{
    // After an engine restarted twice its gateway still counts the work of the first start, and never sends
    // there again. Cause: own work in flight outlives the engine that held it.
    upstream_table table = make_table(1);
    upstream_load load = queued_load(length_class::interactive, 0);
    for (std::uint64_t start = 2; start < 4; ++start) {
        cr_assert(table.sent(at(1s * start), u0, make_work("r" + std::to_string(start), 100'000)));
        load.start = incarnation(start);
        table.report(at(1s * start + 1ms), u0, load);
    }
    table.report(at(9s), u0, queued_load(length_class::interactive, 5)); // of the first start, late
    cr_assert(table.find(u0)->queued(length_class::interactive) == 0);
    cr_assert(table.find(u0)->own_in_flight() == 0);
}

FAULT_CELL(request_route, paused_wakes_late)
{
    // Short questions wait at an engine whose reports say idle while its first tokens take ten times as long
    // as predicted. Cause: a paused or lying reporter; the gateway's own observation has to count.
    upstream_table table = make_table(1);
    for (int i = 0; i < 30; ++i) {
        const instant start = at(1s * i);
        cr_assert(table.sent(start, u0, make_work(std::to_string(i), 10)));
        table.first_token(start + 1s, u0, request_id(std::to_string(i)), attempt_number(1));
        table.report(start + 1s, u0, queued_load(length_class::interactive, 0));
    }
    cr_assert(table.find(u0)->slowness(length_class::interactive) > 5.0);
    cr_assert(table.find(u0)->slowness(length_class::bulk) == 1.0);
}
