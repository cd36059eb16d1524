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

Test(upstream_table, rejects_too_many_upstreams_and_duplicate_ids)
{
    upstream_table table({2, 500ms, 4});
    cr_assert(table.configure(make_upstreams(3)).error().kind() == error_kind::limit_reached);
    auto duplicated = make_upstreams(1);
    duplicated.push_back(duplicated.front());
    cr_assert(table.configure(duplicated).error().kind() == error_kind::invalid_input);
    cr_assert(table.records().empty());
}

Test(upstream_table, offers_only_upstreams_with_the_model_the_adapter_and_enough_memory)
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

Test(upstream_table, keeps_load_reports_across_a_new_configuration)
{
    upstream_table table = make_table(2);
    table.report(at(0s), u1, queued_load(length_class::interactive, 7));
    cr_assert(table.configure(make_upstreams(3)).has_value());
    cr_assert(table.find(u1)->queued(length_class::interactive) == 7);
    cr_assert(table.records().size() == 3);
}

Test(upstream_table, probes_stale_upstreams_once_oldest_first)
{
    upstream_table table({8, 500ms, 1});
    cr_assert(table.configure(make_upstreams(2)).has_value());
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    table.report(at(1s), u1, queued_load(length_class::interactive, 0));
    cr_assert(table.probes_due(at(1'600ms)) == std::vector<upstream_id>(1, u0));
    cr_assert(table.probes_due(at(1'600ms)) == std::vector<upstream_id>(1, u1));
    cr_assert(table.probes_due(at(1'700ms)).empty());
}

Test(upstream_record, own_attempts_are_bounded_and_finished_ones_free_capacity)
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

Test(upstream_record, only_decoding_requests_hold_memory)
{
    upstream_record record(make_upstreams(1).front());
    const dispatched_work large{request_id("r"), attempt_number(1), length_class::bulk,
                                400'000,         400'000,           10s};
    cr_assert(record.sent(at(0s), large));
    cr_assert(record.memory_free() == 500'000,
              "queued work must not reduce the free memory, or short requests would avoid this engine");
    record.first_token(at(1s), large.request, large.attempt);
    cr_assert(record.memory_free() == 100'000);
    record.finished(at(2s), large.request, large.attempt);
    cr_assert(record.memory_free() == 500'000);
}

FAULT_CELL(request_route, message_late)
{
    // Guards against ignoring a prefill that this gateway sent after a load report was measured: a report
    // with a lag can't include it, so own work must be added until a later report covers it.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 1'000));
    cr_assert(table.sent(at(100ms), u0, make_work("r", 3'000)));
    table.report(at(200ms), u0, queued_load(length_class::interactive, 1'000, 150ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 4'000);
    table.report(at(300ms), u0, queued_load(length_class::interactive, 3'500, 50ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 3'500,
              "the newer report must cover the own work");
    table.first_token(at(400ms), u0, request_id("r"), attempt_number(1));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 500,
              "prefill that finished after the measurement must be subtracted");
}

FAULT_CELL(request_route, message_doubled)
{
    // Guards against an idle report that the network duplicates and delivers again after a newer busy report:
    // it must not make the engine look idle.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    table.report(at(100ms), u0, queued_load(length_class::interactive, 9'000));
    table.report(at(200ms), u0, queued_load(length_class::interactive, 0, 200ms));
    cr_assert(table.find(u0)->queued(length_class::interactive) == 9'000);
}

FAULT_CELL(request_route, message_lost)
{
    // Guards against sending all requests to one engine whose last received report was idle, while newer
    // reports are lost: own work in flight must count by itself.
    upstream_table table = make_table(1);
    table.report(at(0s), u0, queued_load(length_class::interactive, 0));
    for (int i = 0; i < 10; ++i) {
        cr_assert(table.sent(at(1s), u0, make_work(std::to_string(i), 1'000)));
    }
    cr_assert(table.find(u0)->queued(length_class::interactive) == 10'000);
}

FAULT_CELL(request_route, domain_out)
{
    // Guards against new work in a drained failure domain after a new configuration and idle load reports of
    // its engines: neither may end the drain.
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
    // Guards against a final refusal ("no route") while all failure domains are only drained: the refusal
    // must name the drain.
    upstream_table table = make_table(3);
    for (const char* domain : {"a", "b", "c"}) {
        table.set_drained(failure_domain_id(domain), true);
    }
    cr_assert(obstacle(table, make_request("r", 10)) == refusal_code::draining);
}

FAULT_CELL(drain_leave, host_list_lags)
{
    // Guards against new work for a leaving engine while the host list lags: the `draining` flag of its
    // sidecar and the membership state must each stop it.
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
    // Guards against mixing up the drain of an upstream and that of its failure domain: ending the one must
    // not end the other, and ending both must return the upstream to service.
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
    // Guards against choosing a suspect engine while an alive one is eligible, and against choosing a dead
    // one at all.
    upstream_table table = make_table(2);
    table.set_state(u0, upstream_state::suspect);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>({"u01"}));
    table.set_state(u1, upstream_state::dead);
    cr_assert(candidate_names(table, make_request("r", 10)) == std::vector<std::string>{"u00"},
              "a suspect must be used if nothing else is left");
    table.set_state(u0, upstream_state::dead);
    cr_assert(obstacle(table, make_request("r", 10)) == refusal_code::upstream_gone);
}

FAULT_CELL(request_route, upstream_cold)
{
    // Guards against overloading a cold engine: its ramp allows 2,000 tokens, 1,500 are admitted, and the
    // gateway sends two more requests before the next load report. Work sent since that report must count.
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
    // Guards against counting own work of an earlier incarnation after the engine restarted, which would keep
    // the gateway from ever using it again.
    upstream_table table = make_table(1);
    upstream_load load = queued_load(length_class::interactive, 0);
    for (std::uint64_t start = 2; start < 4; ++start) {
        cr_assert(table.sent(at(1s * start), u0, make_work("r" + std::to_string(start), 100'000)));
        load.start = incarnation(start);
        table.report(at(1s * start + 1ms), u0, load);
    }
    table.report(at(9s), u0,
                 queued_load(length_class::interactive, 5)); // a late report of the first incarnation
    cr_assert(table.find(u0)->queued(length_class::interactive) == 0);
    cr_assert(table.find(u0)->own_in_flight() == 0);
}

FAULT_CELL(request_route, paused_wakes_late)
{
    // Guards against trusting a paused or wrong reporter that states an idle engine while its first tokens
    // take ten times as long as predicted: the observed times must count.
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
