#include "serve/sidecar_core_fixture.h"

#include <algorithm>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::sidecar_fixture;

namespace {

constexpr token_count engine_memory = 100'000;

auto gang(std::uint64_t round = 1) -> gang_key
{
    return {request_id("r"), attempt_number(round)};
}

/// A sidecar with a fake engine that holds a set of span names, and a gateway `g1` that calls it.
class sidecar_simulation
{
public:
    sidecar_core core{start, options(engine_memory, engine_memory)};
    instant now = start;
    std::set<std::string> held;  ///< Spans that the engine holds.
    bool drops_releases = false; ///< Whether releases are lost on their way to the engine.
    std::uint64_t engine_start = 1;

    auto step(const sidecar_event& event) -> std::vector<sidecar_action>
    {
        auto actions = core.step(now, event);
        apply(actions);
        return actions;
    }
    auto reserve(token_count tokens, std::uint64_t round = 1, const char* gateway = "g1")
        -> std::vector<sidecar_action>
    {
        const reserve_share wanted{gang(round), upstream_id("u1"), tokens, 10s, 1};
        return step(sidecar_input::share_requested{next_call(), process_id(gateway), wanted});
    }
    /// Reserves a share that must be granted.
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
    void release(std::uint64_t round = 1)
    {
        const auto actions =
            step(sidecar_input::share_release_requested{next_call(), process_id("g1"), gang(round)});
        cr_assert(find<sidecar_output::confirm_share_return>(actions) != nullptr);
    }
    /// Opens an attempt and sends its prompt; returns its call if it reached the engine.
    auto begin(const attempt_spec& spec) -> std::optional<call_number>
    {
        const auto call = next_call();
        static_cast<void>(step(sidecar_input::attempt_opened{call, spec}));
        const auto actions = step(sidecar_input::prompt_received{call});
        return find<sidecar_output::start_stream>(actions) != nullptr ? std::optional(call) : std::nullopt;
    }
    /// The engine finishes computing the span.
    void finish_span(call_number call)
    {
        held.insert("r.1.u1");
        static_cast<void>(step(sidecar_input::engine_finished{call, 50'000, "exported", "10.0.0.1:80"}));
    }
    /// Advances time; the shell ticks and reads the engine's state, as the daemon does.
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
    void apply(const std::vector<sidecar_action>& actions)
    {
        for (const auto& action : actions) {
            const auto* cancel = std::get_if<sidecar_output::cancel_stream>(&action);
            cr_assert(cancel == nullptr || held.count(cancel->engine_request) == 0,
                      "a span must be released, not cancelled like a stream");
            const auto* release = std::get_if<sidecar_output::release_span>(&action);
            if (release != nullptr && !drops_releases) {
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

Test(share_coordinator, runs_a_span_and_an_answer_under_their_shares_and_releases_everything)
{
    sidecar_simulation exporter;
    const auto first = exporter.granted(50'000);
    const auto call = exporter.begin(export_under(first));
    cr_assert(call);
    exporter.finish_span(*call);
    exporter.pass(30s / 10);
    cr_assert(exporter.outstanding() == 50'000, "the span must still count as used memory");
    cr_assert(exporter.held.size() == 1);
    exporter.release();
    exporter.pass(1s);
    cr_assert(exporter.held.empty() && exporter.outstanding() == 0 && exporter.core.in_flight() == 0);

    sidecar_simulation decoder;
    const auto last = decoder.granted(50'000);
    const auto stream = decoder.begin(decode_under(last));
    cr_assert(stream);
    decoder.held.insert("r.1.u0");
    decoder.pass(2s);
    cr_assert(decoder.outstanding() == 50'000, "the answer must use the permit of its share");
    static_cast<void>(decoder.step(sidecar_input::engine_tokens{*stream, 0, {"a"}}));
    static_cast<void>(decoder.step(sidecar_input::engine_finished{*stream, 1, "stop"}));
    cr_assert(decoder.outstanding() == 0);
    cr_assert(decoder.held.size() == 1, "the imported span must stay until the share is released");
    decoder.release();
    decoder.pass(1s);
    cr_assert(decoder.held.empty() && decoder.core.in_flight() == 0);
}

Test(share_coordinator, grants_a_repeated_request_but_uses_a_share_once)
{
    sidecar_simulation sidecar;
    const auto lease = sidecar.granted(50'000);
    cr_assert(sidecar.granted(50'000) == lease);
    cr_assert(sidecar.outstanding() == 50'000);
    cr_assert(sidecar.begin(export_under(lease)));
    cr_assert(!sidecar.begin(export_under(lease)));
    cr_assert(!sidecar.begin(decode_under(lease)));
    cr_assert(sidecar.outstanding() == 50'000, "a refused attempt must not free the memory of the first one");
    auto other_gateways = export_under(lease);
    other_gateways.gateway = process_id("g2");
    cr_assert(!sidecar.begin(other_gateways));
}

Test(share_coordinator, keeps_an_unused_share_while_it_is_renewed)
{
    // The engine doesn't list the share's span yet, and the spans before it take longer than a lease.
    sidecar_simulation sidecar;
    const auto lease = sidecar.granted(50'000);
    for (int i = 0; i < 10; ++i) {
        sidecar.pass(3s);
        cr_assert(sidecar.renew(lease));
    }
    cr_assert(sidecar.begin(export_under(lease)));
}

Test(share_coordinator, admits_short_but_not_long_requests_while_a_gang_is_queued)
{
    sidecar_simulation sidecar;
    cr_assert(sidecar.begin(plain("long", 40'000, length_class::bulk)));
    const auto waiting = sidecar.reserve(60'000);
    cr_assert(find<sidecar_output::refuse_share>(waiting)->in_line);
    cr_assert(!sidecar.begin(plain("long-2", 20'000, length_class::bulk)));
    const auto other = sidecar.reserve(10'000, 2);
    cr_assert(find<sidecar_output::refuse_share>(other) != nullptr);
    cr_assert(!find<sidecar_output::refuse_share>(other)->in_line);
    cr_assert(sidecar.begin(plain("short", 1'000, length_class::interactive)));
    sidecar.pass(11s);
    cr_assert(sidecar.begin(plain("long-3", 20'000, length_class::bulk)),
              "the place in the queue must expire if the request isn't repeated");
}

Test(share_coordinator, refuses_a_share_when_cold_draining_or_stopping)
{
    sidecar_simulation sidecar;
    static_cast<void>(sidecar.step(sidecar_input::capacity_changed{10'000, engine_memory, model_id{}}));
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
    // A gateway dies while a span is held at an engine, and the first releases are lost. Without an expiry
    // and repeated releases the memory would stay in use for good.
    sidecar_simulation sidecar;
    const auto call = sidecar.begin(export_under(sidecar.granted(50'000)));
    sidecar.finish_span(*call);
    sidecar.drops_releases = true;
    sidecar.pass(15s);
    cr_assert(sidecar.held.size() == 1 && sidecar.outstanding() == 50'000,
              "memory that is not released must count as used");
    sidecar.drops_releases = false;
    sidecar.pass(6s);
    cr_assert(sidecar.held.empty() && sidecar.outstanding() == 0 && sidecar.core.in_flight() == 0);
}

FAULT_CELL(gang_reserve, process_dies)
{
    // A gateway reserves a share and dies before using it. Other long prompts would be refused although the
    // memory is unused.
    sidecar_simulation sidecar;
    static_cast<void>(sidecar.granted(50'000));
    sidecar.pass(9s);
    cr_assert(sidecar.outstanding() == 50'000);
    sidecar.pass(2s);
    cr_assert(sidecar.outstanding() == 0 && sidecar.core.in_flight() == 0);
}

FAULT_CELL_MORE(gang_import, process_dies, decoding_gateway)
{
    // A gateway dies while the last engine reads the imported spans. The end of its call cancels the answer
    // but not the import, which must be released with the share.
    sidecar_simulation sidecar;
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
    // A gateway is paused for longer than its shares are valid and then opens the answer under an expired
    // one. The memory belongs to another share by now, so the answer would exceed the engine's memory.
    sidecar_simulation sidecar;
    const auto lease = sidecar.granted(50'000);
    sidecar.pass(11s);
    cr_assert(!sidecar.renew(lease));
    cr_assert(!sidecar.begin(decode_under(lease)));
}

FAULT_CELL_MORE(gang_decode, process_dies, sidecar_replaced)
{
    // A sidecar dies with a span at its engine. Its successor knows it only from the engine's list, and must
    // release it after a grace period.
    sidecar_simulation successor;
    successor.held.insert("r.1.u1");
    successor.pass(9s);
    cr_assert(successor.held.size() == 1, "the span must be kept during the grace period");
    successor.pass(3s);
    cr_assert(successor.held.empty());
}

FAULT_CELL(gang_decode, connection_silent)
{
    // The connection of a running answer goes silent while the gateway lives. The share expires without
    // renewal while the answer runs, which would go on reading spans that are released.
    sidecar_simulation sidecar;
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
    // The engine restarts under a reserved share, which is void from then on. A granted renewal would let the
    // gateway rely on it.
    sidecar_simulation sidecar;
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
    // A failure domain is drained while a gang has reserved there. Shares that have not begun must be
    // released at once; work that has begun continues to its end.
    sidecar_simulation sidecar;
    const auto unused = sidecar.granted(20'000, 2);
    const auto used = sidecar.granted(50'000);
    const auto call = sidecar.begin(export_under(used));
    static_cast<void>(sidecar.step(sidecar_input::drain_changed{true}));
    sidecar.pass(1s);
    cr_assert(!sidecar.renew(unused, 2));
    sidecar.finish_span(*call);
    cr_assert(sidecar.renew(used));
    cr_assert(sidecar.outstanding() == 50'000);
}

FAULT_CELL(gang_release, message_late)
{
    // A release overtakes the end of the computation it applies to: the engine reports the export of a span
    // that is already released. The memory must not be counted as free before the engine has released it.
    sidecar_simulation sidecar;
    const auto call = sidecar.begin(export_under(sidecar.granted(50'000)));
    sidecar.drops_releases = true;
    sidecar.release();
    sidecar.finish_span(*call);
    sidecar.pass(1s);
    cr_assert(sidecar.outstanding() == 50'000);
    sidecar.drops_releases = false;
    sidecar.pass(3s);
    cr_assert(sidecar.held.empty() && sidecar.outstanding() == 0);
}
