#include "serve/sidecar_core_fixture.h"

#include <algorithm>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::sidecar_fixture;

namespace {

constexpr token_count room = 100'000;

auto gang(std::uint64_t round = 1) -> gang_key
{
    return {request_id("r"), attempt_number(round)};
}

/// A sidecar with an engine whose held spans are a set of names, and a gateway `g1` that calls it.
class world
{
public:
    sidecar_core core{start, options(room, room)};
    instant now = start;
    std::set<std::string> held;  ///< What the engine holds.
    bool loses_releases = false; ///< Whether releases are lost on the way to the engine.
    std::uint64_t engine_start = 1;

    auto step(const sidecar_event& event) -> std::vector<sidecar_action>
    {
        auto actions = core.step(now, event);
        carry_out(actions);
        return actions;
    }
    auto reserve(token_count tokens, std::uint64_t round = 1, const char* gateway = "g1")
        -> std::vector<sidecar_action>
    {
        const reserve_share wanted{gang(round), upstream_id("u1"), tokens, 10s, 1};
        return step(sidecar_input::share_requested{next_call(), process_id(gateway), wanted});
    }
    /// Reserves a share that has to be granted.
    auto granted(token_count tokens, std::uint64_t round = 1) -> lease_id
    {
        const auto actions = reserve(tokens, round);
        const auto* grant = find<sidecar_output::grant_share>(actions);
        cr_assert(grant != nullptr);
        return grant->lease;
    }
    auto renew(lease_id lease, std::uint64_t round = 1) -> bool
    {
        const renew_share wanted{gang(round), upstream_id("u1"), lease, 10s, 2};
        return find<sidecar_output::grant_share>(step(
                   sidecar_input::share_renewal_requested{next_call(), process_id("g1"), wanted})) != nullptr;
    }
    void give_back(std::uint64_t round = 1)
    {
        const auto actions =
            step(sidecar_input::share_release_requested{next_call(), process_id("g1"), gang(round)});
        cr_assert(find<sidecar_output::confirm_share_return>(actions) != nullptr);
    }
    /// Opens a try and sends its prompt; the number of its call if it reached the engine.
    auto begin(const attempt_spec& spec) -> std::optional<call_number>
    {
        const auto call = next_call();
        static_cast<void>(step(sidecar_input::attempt_opened{call, spec}));
        const auto actions = step(sidecar_input::prompt_received{call});
        return find<sidecar_output::start_stream>(actions) != nullptr ? std::optional(call) : std::nullopt;
    }
    /// The engine has computed the span.
    void span_done(call_number call)
    {
        held.insert("r.1.u1");
        static_cast<void>(step(sidecar_input::engine_finished{call, 50'000, "exported", "10.0.0.1:80"}));
    }
    /// Time passes; the shell ticks and reads the engine's state, as the daemon does.
    void pass(duration span)
    {
        for (const auto end = now + span; now < end;) {
            now += 100ms;
            static_cast<void>(step(sidecar_input::tick{}));
            sidecar_input::engine_reported report;
            report.status.start = incarnation(engine_start);
            for (const auto& name : held) {
                report.held.push_back({name, 50'000, true});
            }
            static_cast<void>(step(report));
        }
    }
    auto outstanding() const -> work_cost { return core.load(now).outstanding; }

private:
    auto next_call() -> call_number { return call_number(++calls_); }
    void carry_out(const std::vector<sidecar_action>& actions)
    {
        for (const auto& action : actions) {
            const auto* cancel = std::get_if<sidecar_output::cancel_stream>(&action);
            cr_assert(cancel == nullptr || held.count(cancel->engine_request) == 0,
                      "a span is released, not cancelled like a stream");
            const auto* release = std::get_if<sidecar_output::release_span>(&action);
            if (release != nullptr && !loses_releases) {
                held.erase(release->span);
                static_cast<void>(core.step(now, sidecar_input::span_released{release->span}));
            }
        }
    }

    std::uint64_t calls_ = 0;
};

auto spec_under(lease_id share, const char* request = "r") -> attempt_spec
{
    attempt_spec made;
    made.request = request_id(request);
    made.attempt = attempt_number(1);
    made.gateway = process_id("g1");
    made.model = model_id("m");
    made.size = length_class::gang;
    made.prompt_tokens = 50'000;
    made.prefill = 50'000;
    made.remaining = 60s;
    made.share = share;
    return made;
}

auto export_under(lease_id share) -> attempt_spec
{
    auto made = spec_under(share);
    made.exported_span = "r.1.u1";
    made.span_end = 50'000;
    return made;
}

auto decode_under(lease_id share) -> attempt_spec
{
    auto made = spec_under(share);
    made.max_tokens = 16;
    made.imports = {{"r.1.u0", "10.0.0.2:80", 0, 50'000}};
    return made;
}

auto plain(const char* request, token_count tokens, length_class size) -> attempt_spec
{
    auto made = spec_under(lease_id{}, request);
    made.prompt_tokens = tokens;
    made.prefill = tokens;
    made.size = size;
    return made;
}

} // namespace

Test(share_coordinator, a_span_and_an_answer_run_under_their_shares_and_leave_nothing)
{
    world exporter;
    const auto first = exporter.granted(50'000);
    const auto call = exporter.begin(export_under(first));
    cr_assert(call);
    exporter.span_done(*call);
    exporter.pass(30s / 10);
    cr_assert(exporter.outstanding() == 50'000, "the span still takes the engine's memory");
    cr_assert(exporter.held.size() == 1);
    exporter.give_back();
    exporter.pass(1s);
    cr_assert(exporter.held.empty() && exporter.outstanding() == 0 && exporter.core.in_flight() == 0);

    world decoder;
    const auto last = decoder.granted(50'000);
    const auto stream = decoder.begin(decode_under(last));
    cr_assert(stream);
    decoder.held.insert("r.1.u0");
    decoder.pass(2s);
    cr_assert(decoder.outstanding() == 50'000, "the answer runs under the share's permit, not a second one");
    static_cast<void>(decoder.step(sidecar_input::engine_tokens{*stream, 0, {"a"}}));
    static_cast<void>(decoder.step(sidecar_input::engine_finished{*stream, 1, "stop"}));
    cr_assert(decoder.outstanding() == 0);
    cr_assert(decoder.held.size() == 1, "the imported span stands until the share is given back");
    decoder.give_back();
    decoder.pass(1s);
    cr_assert(decoder.held.empty() && decoder.core.in_flight() == 0);
}

Test(share_coordinator, a_share_may_be_asked_for_again_and_is_used_once)
{
    world sidecar;
    const auto lease = sidecar.granted(50'000);
    cr_assert(sidecar.granted(50'000) == lease);
    cr_assert(sidecar.outstanding() == 50'000);
    cr_assert(sidecar.begin(export_under(lease)));
    cr_assert(!sidecar.begin(export_under(lease)));
    cr_assert(!sidecar.begin(decode_under(lease)));
    cr_assert(sidecar.outstanding() == 50'000, "a try that was refused must not free the first one's memory");
    auto anothers = export_under(lease);
    anothers.gateway = process_id("g2");
    cr_assert(!sidecar.begin(anothers));
}

Test(share_coordinator, a_share_that_waits_for_its_turn_stands_as_long_as_it_is_renewed)
{
    // The engine lists nothing of it yet, and the spans before it take longer than a lease.
    world sidecar;
    const auto lease = sidecar.granted(50'000);
    for (int i = 0; i < 10; ++i) {
        sidecar.pass(3s);
        cr_assert(sidecar.renew(lease));
    }
    cr_assert(sidecar.begin(export_under(lease)));
}

Test(share_coordinator, short_requests_find_room_beside_a_gang_and_long_ones_wait_behind_its_place_in_line)
{
    world sidecar;
    cr_assert(sidecar.begin(plain("long", 40'000, length_class::bulk)));
    const auto waiting = sidecar.reserve(60'000);
    cr_assert(find<sidecar_output::refuse_share>(waiting)->in_line);
    cr_assert(!sidecar.begin(plain("long-2", 20'000, length_class::bulk)));
    const auto other = sidecar.reserve(10'000, 2);
    cr_assert(find<sidecar_output::refuse_share>(other) != nullptr);
    cr_assert(!find<sidecar_output::refuse_share>(other)->in_line);
    cr_assert(sidecar.begin(plain("short", 1'000, length_class::interactive)));
    sidecar.pass(11s);
    cr_assert(sidecar.begin(plain("long-3", 20'000, length_class::bulk)), "a line ends if nobody asks again");
}

Test(share_coordinator, a_share_is_refused_when_cold_draining_or_stopping)
{
    world sidecar;
    static_cast<void>(sidecar.step(sidecar_input::capacity_changed{10'000, room, model_id{}}));
    static_cast<void>(sidecar.step(sidecar_input::engine_reported{{incarnation(1), true, 0, {}}, 0, {}}));
    const auto refused_with = [&sidecar](refusal_code code) {
        const auto actions = sidecar.reserve(50'000);
        const auto* refused = find<sidecar_output::refuse_share>(actions);
        cr_assert(refused != nullptr && refused->why.code == code && !refused->in_line);
        cr_assert(refused->why.ran == ran_state::no && refused->why.retry_after > duration::zero());
    };
    refused_with(refusal_code::upstream_cold);
    static_cast<void>(sidecar.step(sidecar_input::drain_changed{true}));
    refused_with(refusal_code::draining);
    static_cast<void>(sidecar.step(sidecar_input::stop_requested{}));
    refused_with(refusal_code::stopping);
}

FAULT_CELL(gang_release, process_dies)
{
    // A user's gateway dies while a span of his prompt stands at an engine. Nobody renews the share, and the
    // first releases are lost: without an end of its own, and repeats, the memory would be gone for good.
    world sidecar;
    const auto call = sidecar.begin(export_under(sidecar.granted(50'000)));
    sidecar.span_done(*call);
    sidecar.loses_releases = true;
    sidecar.pass(15s);
    cr_assert(sidecar.held.size() == 1 && sidecar.outstanding() == 50'000, "memory still taken counts");
    sidecar.loses_releases = false;
    sidecar.pass(6s);
    cr_assert(sidecar.held.empty() && sidecar.outstanding() == 0 && sidecar.core.in_flight() == 0);
}

FAULT_CELL(gang_reserve, process_dies)
{
    // A gateway reserves a share and dies before it uses it. Other long prompts would be refused for memory
    // that stands empty.
    world sidecar;
    static_cast<void>(sidecar.granted(50'000));
    sidecar.pass(9s);
    cr_assert(sidecar.outstanding() == 50'000);
    sidecar.pass(2s);
    cr_assert(sidecar.outstanding() == 0 && sidecar.core.in_flight() == 0);
}

FAULT_CELL_MORE(gang_import, process_dies, decoding_gateway)
{
    // A gateway dies while the last engine reads the spans of the others. Its call's end cancels the answer,
    // but the imported span would stay; it is released with the share.
    world sidecar;
    const auto call = sidecar.begin(decode_under(sidecar.granted(50'000)));
    sidecar.held.insert("r.1.u0");
    const auto ended = sidecar.step(sidecar_input::call_cancelled{*call});
    const auto* cancel = find<sidecar_output::cancel_stream>(ended);
    cr_assert(cancel != nullptr);
    static_cast<void>(sidecar.step(sidecar_input::cancel_confirmed{cancel->engine_request}));
    cr_assert(sidecar.outstanding() == 0);
    sidecar.pass(11s);
    cr_assert(sidecar.held.empty() && sidecar.core.in_flight() == 0);
}

FAULT_CELL(gang_import, paused_wakes_late)
{
    // A gateway is paused for longer than its shares stand and then opens the answer under the old one. Its
    // memory is another's by now: the answer would push the engine over its memory.
    world sidecar;
    const auto lease = sidecar.granted(50'000);
    sidecar.pass(11s);
    cr_assert(!sidecar.renew(lease));
    cr_assert(!sidecar.begin(decode_under(lease)));
}

FAULT_CELL_MORE(gang_decode, process_dies, sidecar_replaced)
{
    // A sidecar dies with a span at its engine. Its successor knows nothing of it and nobody will ask; it
    // shows only in the engine's list, and is released after a time of grace.
    world successor;
    successor.held.insert("r.1.u1");
    successor.pass(9s);
    cr_assert(successor.held.size() == 1, "an owner may still claim it");
    successor.pass(3s);
    cr_assert(successor.held.empty());
}

FAULT_CELL(gang_decode, connection_silent)
{
    // The connection of the running answer goes silent while the gateway lives: the share ends for want of
    // renewal while the answer still runs, and would read spans that are released beside it.
    world sidecar;
    const auto call = sidecar.begin(decode_under(sidecar.granted(50'000)));
    cr_assert(call);
    bool cancelled = false;
    for (int i = 0; i < 110; ++i) {
        sidecar.now += 100ms;
        static_cast<void>(sidecar.step(sidecar_input::gateway_heartbeat{process_id("g1")}));
        const auto actions = sidecar.step(sidecar_input::tick{});
        cancelled = cancelled || find<sidecar_output::cancel_stream>(actions) != nullptr;
    }
    cr_assert(cancelled);
}

FAULT_CELL_MORE(gang_reserve, upstream_cold, engine_restarts)
{
    // The engine restarts under a reserved share: the promise is empty, and a renewal that was granted would
    // let the gateway build on it.
    world sidecar;
    const auto lease = sidecar.granted(50'000);
    sidecar.pass(1s);
    cr_assert(sidecar.renew(lease));
    sidecar.engine_start = 2;
    sidecar.pass(200ms);
    cr_assert(!sidecar.renew(lease));
    cr_assert(sidecar.outstanding() == 0);
}

FAULT_CELL(gang_reserve, domain_out)
{
    // Operators take a failure domain out while a gang has reserved there: what has not begun is given back
    // at once, what has begun goes on to its end.
    world sidecar;
    const auto unused = sidecar.granted(20'000, 2);
    const auto used = sidecar.granted(50'000);
    const auto call = sidecar.begin(export_under(used));
    static_cast<void>(sidecar.step(sidecar_input::drain_changed{true}));
    sidecar.pass(1s);
    cr_assert(!sidecar.renew(unused, 2));
    sidecar.span_done(*call);
    cr_assert(sidecar.renew(used));
    cr_assert(sidecar.outstanding() == 50'000);
}

FAULT_CELL(gang_release, message_late)
{
    // A release overtakes the end of the computation that it is for: the engine answers the export of a span
    // that is already released. The memory must not be counted as free before it is.
    world sidecar;
    const auto call = sidecar.begin(export_under(sidecar.granted(50'000)));
    sidecar.loses_releases = true;
    sidecar.give_back();
    sidecar.span_done(*call);
    sidecar.pass(1s);
    cr_assert(sidecar.outstanding() == 50'000);
    sidecar.loses_releases = false;
    sidecar.pass(3s);
    cr_assert(sidecar.held.empty() && sidecar.outstanding() == 0);
}
