#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

/// Queued bulk prefill for each engine, several times what the bound allows.
constexpr token_count excessive_prefill = 2'000'000;
/// Queued bulk prefill for each engine, well below the bound.
constexpr token_count light_prefill = 200'000;

void report_load(gateway_core& core, instant now, token_count queued)
{
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        gateway_input::load_reported report{upstream_id("e" + std::to_string(i)), {}};
        report.load.queued_prefill[index_of(length_class::bulk)] = queued;
        feed(core, now, report);
    }
}

auto overnight(std::uint64_t number) -> gateway_input::completion_arrived
{
    auto made = asked(number);
    made.request_priority = priority::overnight;
    made.prompt_tokens = 50'000;
    made.time_limit = 600s;
    return made;
}

/// Offers overnight work until the gateway defers a request, and returns its number.
auto defer_one(gateway_core& core, std::uint64_t first) -> std::uint64_t
{
    while (core.paused() == 0) {
        const auto actions = core.step(start, overnight(first));
        cr_assert(find<gateway_output::refuse>(actions) == nullptr,
                  "overnight work must be deferred, not refused");
        ++first;
    }
    return first - 1;
}

/// An overnight request that delivered two tokens, lost its engine, and was paused before the next engine
/// began to answer.
struct paused_with_two_tokens
{
    gateway_core core{start, options()};
    gateway_output::open_attempt first;
    gateway_output::open_attempt second;

    paused_with_two_tokens()
    {
        adopt(core, small_bundle());
        first = *find<gateway_output::open_attempt>(core.step(start, overnight(1)));
        feed(core, start, gateway_input::attempt_granted{first.key});
        feed(core, start, gateway_input::attempt_tokens{first.key, 0, {"a", "b"}});
        second = *find<gateway_output::open_attempt>(core.step(start, lost(first.key)));
        feed(core, start, gateway_input::attempt_granted{second.key});
        report_load(core, start, excessive_prefill);
        const auto review = core.step(start + 1s, gateway_input::tick{});
        cr_assert(find<gateway_output::cancel_attempt>(review)->key == second.key);
        cr_assert(core.paused() == 1);
        cr_assert(core.in_flight() == 1);
    }
    /// Reports empty queues and returns the attempt with which the request resumes.
    auto clear_load(instant now) -> gateway_output::open_attempt
    {
        report_load(core, now, 0);
        const auto actions = core.step(now, gateway_input::tick{});
        const auto* opened = find<gateway_output::open_attempt>(actions);
        cr_assert(opened != nullptr);
        cr_assert(core.paused() == 0);
        return *opened;
    }
};

} // namespace

Test(gateway_overload, neither_refuses_nor_defers_below_the_bound)
{
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 1'000;
    adopt(core, in_force);
    report_load(core, start, light_prefill);
    for (std::uint64_t i = 1; i <= 300; ++i) {
        auto request = i % 2 == 0 ? asked(i) : overnight(i);
        request.prompt_tokens = 1'000;
        cr_assert(find<gateway_output::open_attempt>(core.step(start, request)) != nullptr);
    }
}

Test(gateway_overload, does_not_shed_prompts_for_several_engines)
{
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].tokens_per_second = 1e9;
    adopt(core, in_force);
    for (std::uint64_t i = 1; i <= 30; ++i) {
        const auto now = start + 10ms * i;
        report_load(core, now, excessive_prefill);
        auto request = asked(i);
        request.prompt_tokens = 400'000;
        const auto actions = core.step(now, request);
        const auto* refused = find<gateway_output::refuse>(actions);
        cr_assert(refused == nullptr || refused->why.code != refusal_code::overloaded);
    }
}

FAULT_CELL_MORE(request_limit, two_faults, accounts)
{
    // During a shortage one large account sends nine of ten requests. Refusing without regard to usage would
    // refuse the small account as often. Requests within an account's share must be admitted, and the excess
    // of the large account refused at once as "not run".
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 10'000;
    in_force.accounts.push_back(in_force.accounts[0]);
    in_force.accounts[1].id = client_account_id("small");
    adopt(core, in_force);
    int large_refused = 0;
    int small_refused = 0;
    for (std::uint64_t i = 1; i <= 600; ++i) {
        const auto now = start + 10ms * i;
        report_load(core, now, excessive_prefill);
        auto request = asked(i);
        const bool small = i % 10 == 0;
        request.account = small ? client_account_id("small") : request.account;
        const auto actions = core.step(now, request);
        if (const auto* refused = find<gateway_output::refuse>(actions)) {
            (small ? small_refused : large_refused) += 1;
            cr_assert(refused->why.code == refusal_code::overloaded);
            cr_assert(refused->why.ran == ran_state::no);
            cr_assert(refused->why.retry_after >= 1s);
            cr_assert(find<gateway_output::open_attempt>(actions) == nullptr);
        }
    }
    cr_assert(large_refused > 200, "%d", large_refused);
    cr_assert(small_refused <= 3, "%d of 60", small_refused);
}

FAULT_CELL(request_limit, connection_silent)
{
    // All connections go silent while the queues are long. The last reported loads must lose weight as they
    // age; otherwise requests are refused long after the engines have become idle.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    report_load(core, start, excessive_prefill);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto actions = core.step(start + 200s, asked(i));
        cr_assert(find<gateway_output::open_attempt>(actions) != nullptr);
    }
}

FAULT_CELL_MORE(request_limit, message_late, held)
{
    // Overnight work arrives during a shortage. It can wait, so it must be deferred instead of refused, and
    // be answered in full when the queues are short again.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    report_load(core, start, excessive_prefill);
    const auto deferred = defer_one(core, 1);
    report_load(core, start + 30s, 0);
    const auto resumed = core.step(start + 30s, gateway_input::tick{});
    const auto* opened = find<gateway_output::open_attempt>(resumed);
    cr_assert(opened != nullptr);
    cr_assert(opened->key.exchange == exchange_number(deferred));
    const auto ended = core.step(start + 40s, gateway_input::attempt_finished{opened->key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
}

Test(gateway_overload, bounds_deferred_work_and_refuses_the_rest_at_once)
{
    auto bounded = options();
    bounded.overload.pause.max_paused = 1;
    gateway_core core(start, bounded);
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 1'000;
    in_force.accounts[0].tokens_per_second = 1e9;
    adopt(core, in_force);
    report_load(core, start, excessive_prefill);
    int refused = 0;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto actions = core.step(start, overnight(i));
        if (const auto* refusal_sent = find<gateway_output::refuse>(actions)) {
            ++refused;
            cr_assert(refusal_sent->why.ran == ran_state::no);
            cr_assert(refusal_sent->why.retry_after >= 1s);
        }
        cr_assert(core.paused() <= 1);
    }
    cr_assert(refused > 10);
}

FAULT_CELL_MORE(request_resume, two_faults, paused)
{
    // An engine is lost after the first tokens of an answer, and the work is paused at the next engine
    // because of its load. Late tokens must be dropped; after the resume the answer must continue after the
    // last delivered token, without repeating any.
    paused_with_two_tokens scenario;
    auto& core = scenario.core;
    const auto late = core.step(start + 2s, gateway_input::attempt_tokens{scenario.second.key, 2, {"old"}});
    cr_assert(find<gateway_output::deliver>(late) == nullptr);
    const auto third = scenario.clear_load(start + 30s);
    cr_assert(third.spec.resume_offset == 2);
    cr_assert(third.key.attempt > scenario.second.key.attempt);
    const auto rest = core.step(start + 31s, gateway_input::attempt_tokens{third.key, 2, {"c"}});
    cr_assert(find<gateway_output::deliver>(rest)->offset == 2);
    const auto ended = core.step(start + 31s, gateway_input::attempt_finished{third.key, 3, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(core.in_flight() == 0);
}

FAULT_CELL_MORE(request_resume, process_dies, paused)
{
    // The loss of an engine is reported after its work was paused. It concerns an attempt already given up,
    // so it must neither restart the work during the shortage nor count as a failed attempt.
    paused_with_two_tokens scenario;
    cr_assert(find<gateway_output::open_attempt>(scenario.core.step(start + 2s, lost(scenario.second.key))) ==
              nullptr);
    feed(scenario.core, start + 2s,
         gateway_input::upstream_changed{scenario.second.upstream, upstream_state::dead});
    cr_assert(scenario.core.paused() == 1);
    cr_assert(scenario.clear_load(start + 30s).upstream != scenario.second.upstream);
}

FAULT_CELL(request_resume, domain_out)
{
    // The failure domain of paused work is drained. The work must resume in another domain.
    paused_with_two_tokens scenario;
    const auto number = scenario.second.upstream.text().substr(1);
    feed(scenario.core, start + 2s, gateway_input::drains_changed{{failure_domain_id("d" + number)}, {}});
    cr_assert(scenario.clear_load(start + 30s).upstream != scenario.second.upstream);
}

FAULT_CELL_MORE(request_resume, paused_wakes_late, shortage)
{
    // A shortage doesn't end. Paused work must resume in time to finish within its limit, however long the
    // queues are. If it doesn't finish, the refusal at the limit must not be "not run", since an engine had
    // the work.
    paused_with_two_tokens scenario;
    const gateway_output::open_attempt* opened = nullptr;
    std::vector<gateway_action> actions;
    auto now = start;
    for (; opened == nullptr && now < start + 600s; now += 1s) {
        report_load(scenario.core, now, excessive_prefill);
        actions = scenario.core.step(now, gateway_input::tick{});
        opened = find<gateway_output::open_attempt>(actions);
    }
    cr_assert(opened != nullptr, "paused work must resume before its time limit");
    cr_assert(opened->spec.resume_offset == 2);
    cr_assert(opened->spec.remaining > 2s);
    const auto over = scenario.core.step(start + 600s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::refuse>(over)->why.ran == ran_state::unknown);
    cr_assert(scenario.core.in_flight() == 0);
}

FAULT_CELL_MORE(request_resume, two_faults, not_run)
{
    // An engine dies with a prompt before the first token, and every other engine is cold and refuses. The
    // last refusal is "not run", but the first engine may have run the request, so the caller must receive
    // "unknown".
    gateway_core core(start, options());
    adopt(core, small_bundle());
    const auto first = open(core, 1);
    feed(core, start, gateway_input::attempt_granted{first.key});
    auto actions = core.step(start, lost(first.key));
    const refusal cold{refusal_code::upstream_cold, ran_state::no, 700ms, ""};
    auto now = start;
    while (find<gateway_output::refuse>(actions) == nullptr && now < start + 10s) {
        const auto* opened = find<gateway_output::open_attempt>(actions);
        now += 10ms;
        actions = opened != nullptr ? core.step(now, gateway_input::attempt_refused{opened->key, cold})
                                    : core.step(now, gateway_input::tick{});
    }
    cr_assert(find<gateway_output::refuse>(actions)->why.ran == ran_state::unknown);
}

FAULT_CELL_MORE(request_resume, same_twice, paused)
{
    // Every engine is cold and refuses resumed work again and again. Giving up would waste the caller's wait.
    // The work must be retried at a low rate until there is capacity, and its answer must be complete.
    paused_with_two_tokens scenario;
    auto opened = scenario.clear_load(start + 30s);
    int attempts = 0;
    const refusal cold{refusal_code::upstream_cold, ran_state::no, 50ms, ""};
    auto now = start + 30s;
    auto actions = scenario.core.step(now, gateway_input::attempt_refused{opened.key, cold});
    for (; now < start + 90s; now += 100ms) {
        cr_assert(find<gateway_output::refuse>(actions) == nullptr);
        if (const auto* again = find<gateway_output::open_attempt>(actions)) {
            ++attempts;
            opened = *again;
            actions = scenario.core.step(now, gateway_input::attempt_refused{opened.key, cold});
        }
        else {
            actions = scenario.core.step(now, gateway_input::tick{});
        }
    }
    cr_assert(attempts >= 10 && attempts <= 30, "%d", attempts);
    while (find<gateway_output::open_attempt>(actions) == nullptr && now < start + 100s) {
        now += 100ms;
        actions = scenario.core.step(now, gateway_input::tick{});
    }
    const auto last = *find<gateway_output::open_attempt>(actions);
    cr_assert(last.spec.resume_offset == 2);
    const auto ended = scenario.core.step(now, gateway_input::attempt_finished{last.key, 2, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(scenario.core.in_flight() == 0);
}

FAULT_CELL_MORE(request_cancel, message_lost, paused)
{
    // A caller disconnects while its work is paused. The work must not start later, and its account's slot
    // must be released.
    paused_with_two_tokens scenario;
    auto& core = scenario.core;
    feed(core, start + 2s, gateway_input::caller_left{exchange_number(1)});
    cr_assert(core.paused() == 0);
    cr_assert(core.in_flight() == 0);
    report_load(core, start + 30s, 0);
    cr_assert(find<gateway_output::open_attempt>(core.step(start + 30s, gateway_input::tick{})) == nullptr);
}

FAULT_CELL_MORE(process_stop, two_faults, paused)
{
    // A gateway with paused work is stopped during a shortage. The stop must not cut off any request: paused
    // work resumes at once, nothing more is paused, and the stop ends after the whole answer.
    paused_with_two_tokens scenario;
    auto& core = scenario.core;
    report_load(core, start + 2s, excessive_prefill);
    auto actions = core.step(start + 2s, gateway_input::stop_requested{});
    const auto* opened = find<gateway_output::open_attempt>(actions);
    cr_assert(opened != nullptr);
    cr_assert(find<gateway_output::all_done>(actions) == nullptr);
    const auto key = opened->key;
    cr_assert(find<gateway_output::cancel_attempt>(core.step(start + 5s, gateway_input::tick{})) == nullptr);
    const auto ended = core.step(start + 6s, gateway_input::attempt_finished{key, 2, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(find<gateway_output::all_done>(ended) != nullptr);
}
