#include "serve/gateway_core_fixture.h"

using namespace dragonflymill;
using namespace dragonflymill::fixture;

namespace {

/// Prefill of the bulk class, queued at every engine, that is several times what the bound allows.
constexpr token_count far_too_much = 2'000'000;
/// The same, well below the bound.
constexpr token_count some = 200'000;

void hear_load(gateway_core& core, instant now, token_count queued)
{
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        gateway_input::load_reported heard{upstream_id("e" + std::to_string(i)), {}};
        heard.load.queued_prefill[index_of(length_class::bulk)] = queued;
        feed(core, now, heard);
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

/// Offers overnight work until the gateway holds one back; its number.
auto hold_one(gateway_core& core, std::uint64_t first) -> std::uint64_t
{
    while (core.paused() == 0) {
        const auto actions = core.step(start, overnight(first));
        cr_assert(find<gateway_output::refuse>(actions) == nullptr, "it can wait, so it isn't refused");
        ++first;
    }
    return first - 1;
}

/// An overnight request whose caller has two tokens, whose engine was then lost, and which was paused before
/// the next engine began to answer.
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
        hear_load(core, start, far_too_much);
        const auto review = core.step(start + 1s, gateway_input::tick{});
        cr_assert(find<gateway_output::cancel_attempt>(review)->key == second.key);
        cr_assert(core.paused() == 1);
        cr_assert(core.in_flight() == 1);
    }
    /// The queues are short again: the try that goes on.
    auto calm_down(instant now) -> gateway_output::open_attempt
    {
        hear_load(core, now, 0);
        const auto actions = core.step(now, gateway_input::tick{});
        const auto* opened = find<gateway_output::open_attempt>(actions);
        cr_assert(opened != nullptr);
        cr_assert(core.paused() == 0);
        return *opened;
    }
};

} // namespace

Test(gateway_overload, below_the_bound_nothing_is_refused_or_held)
{
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 1'000;
    adopt(core, in_force);
    hear_load(core, start, some);
    for (std::uint64_t i = 1; i <= 300; ++i) {
        auto request = i % 2 == 0 ? asked(i) : overnight(i);
        request.prompt_tokens = 1'000;
        cr_assert(find<gateway_output::open_attempt>(core.step(start, request)) != nullptr);
    }
}

Test(gateway_overload, a_prompt_for_several_engines_is_left_to_their_leases)
{
    gateway_core core(start, options());
    auto in_force = small_bundle();
    in_force.accounts[0].tokens_per_second = 1e9;
    adopt(core, in_force);
    for (std::uint64_t i = 1; i <= 30; ++i) {
        const auto now = start + 10ms * i;
        hear_load(core, now, far_too_much);
        auto request = asked(i);
        request.prompt_tokens = 400'000;
        const auto actions = core.step(now, request);
        const auto* refused = find<gateway_output::refuse>(actions);
        cr_assert(refused == nullptr || refused->why.code != refusal_code::overloaded);
    }
}

FAULT_CELL_MORE(request_limit, two_faults, accounts)
{
    // During a shortage one large account sends nine of ten requests, and members with a shade query now and
    // then are refused as often as it. Cause: refusal without regard to who took how much; through the whole
    // gateway those within their share come in, and the large account's excess is refused at once,
    // truthfully.
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
        hear_load(core, now, far_too_much);
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
    // Hours after a shortage a caller is still refused, though the engines idle. Every connection went silent
    // while the queues were long, and the last load word said so. Cause: a word without an age; what it says
    // shrinks as it grows old.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    hear_load(core, start, far_too_much);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto actions = core.step(start + 200s, asked(i));
        cr_assert(find<gateway_output::open_attempt>(actions) != nullptr);
    }
}

FAULT_CELL_MORE(request_limit, message_late, held)
{
    // A season's summary comes in the middle of a shortage. Refused, it would have to be sent again by hand;
    // it may wait, so it is held and goes on when the queues are short again, with its whole answer.
    gateway_core core(start, options());
    adopt(core, small_bundle());
    hear_load(core, start, far_too_much);
    const auto held = hold_one(core, 1);
    hear_load(core, start + 30s, 0);
    const auto calm = core.step(start + 30s, gateway_input::tick{});
    const auto* opened = find<gateway_output::open_attempt>(calm);
    cr_assert(opened != nullptr);
    cr_assert(opened->key.exchange == exchange_number(held));
    const auto ended = core.step(start + 40s, gateway_input::attempt_finished{opened->key, 0, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
}

Test(gateway_overload, what_is_held_is_bounded_and_the_rest_refused_at_once)
{
    auto bounded = options();
    bounded.overload.pause.max_paused = 1;
    gateway_core core(start, bounded);
    auto in_force = small_bundle();
    in_force.accounts[0].max_in_flight = 1'000;
    in_force.accounts[0].tokens_per_second = 1e9;
    adopt(core, in_force);
    hear_load(core, start, far_too_much);
    int refused = 0;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto actions = core.step(start, overnight(i));
        if (const auto* said = find<gateway_output::refuse>(actions)) {
            ++refused;
            cr_assert(said->why.ran == ran_state::no);
            cr_assert(said->why.retry_after >= 1s);
        }
        cr_assert(core.paused() <= 1);
    }
    cr_assert(refused > 10);
}

FAULT_CELL_MORE(request_resume, two_faults, paused)
{
    // A caller has the first words of a summary when its engine is lost, and the next one is so loaded that
    // the work is paused. Its late tokens must reach nobody; when it is calm the answer goes on behind the
    // caller's last word, with no word twice.
    paused_with_two_tokens story;
    auto& core = story.core;
    const auto late = core.step(start + 2s, gateway_input::attempt_tokens{story.second.key, 2, {"old"}});
    cr_assert(find<gateway_output::deliver>(late) == nullptr);
    const auto third = story.calm_down(start + 30s);
    cr_assert(third.spec.resume_offset == 2);
    cr_assert(third.key.attempt > story.second.key.attempt);
    const auto rest = core.step(start + 31s, gateway_input::attempt_tokens{third.key, 2, {"c"}});
    cr_assert(find<gateway_output::deliver>(rest)->offset == 2);
    const auto ended = core.step(start + 31s, gateway_input::attempt_finished{third.key, 3, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(core.in_flight() == 0);
}

FAULT_CELL_MORE(request_resume, process_dies, paused)
{
    // An engine is lost while work that it had is paused. The word of the loss comes late and is about a try
    // given up before: it must neither start the work again in the shortage nor count as a failed try.
    paused_with_two_tokens story;
    cr_assert(find<gateway_output::open_attempt>(story.core.step(start + 2s, lost(story.second.key))) ==
              nullptr);
    feed(story.core, start + 2s,
         gateway_input::upstream_changed{story.second.upstream, upstream_state::dead});
    cr_assert(story.core.paused() == 1);
    cr_assert(story.calm_down(start + 30s).upstream != story.second.upstream);
}

FAULT_CELL(request_resume, domain_out)
{
    // While work is paused, operators take out the failure domain where it ran. It must go on in another.
    paused_with_two_tokens story;
    const auto number = story.second.upstream.text().substr(1);
    feed(story.core, start + 2s, gateway_input::drains_changed{{failure_domain_id("d" + number)}, {}});
    cr_assert(story.calm_down(start + 30s).upstream != story.second.upstream);
}

FAULT_CELL_MORE(request_resume, paused_wakes_late, shortage)
{
    // A shortage doesn't end. Paused work goes on in time to end in its limit, however long the queues are;
    // and if it does not end, its caller is told at the limit, and not that it wasn't run: an engine had it.
    paused_with_two_tokens story;
    const gateway_output::open_attempt* opened = nullptr;
    std::vector<gateway_action> actions;
    auto now = start;
    for (; opened == nullptr && now < start + 600s; now += 1s) {
        hear_load(story.core, now, far_too_much);
        actions = story.core.step(now, gateway_input::tick{});
        opened = find<gateway_output::open_attempt>(actions);
    }
    cr_assert(opened != nullptr, "it goes on before its limit");
    cr_assert(opened->spec.resume_offset == 2);
    cr_assert(opened->spec.remaining > 2s);
    const auto over = story.core.step(start + 600s, gateway_input::tick{});
    cr_assert(find<gateway_output::refuse>(over)->why.code == refusal_code::deadline);
    cr_assert(find<gateway_output::refuse>(over)->why.ran == ran_state::unknown);
    cr_assert(story.core.in_flight() == 0);
}

FAULT_CELL_MORE(request_resume, two_faults, not_run)
{
    // An engine dies with a caller's prompt, before its first word; then every other engine refuses, as it is
    // cold. The last refusal is truly "not run", but the first engine may have run it: the caller must not be
    // told that it was not.
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
    // Paused work goes on, and every engine refuses it again and again: they are cold. Given up then, its
    // caller would have waited for nothing. It is tried at an easy pace until there is room, and its answer
    // is whole.
    paused_with_two_tokens story;
    auto opened = story.calm_down(start + 30s);
    int tries = 0;
    const refusal cold{refusal_code::upstream_cold, ran_state::no, 50ms, ""};
    auto now = start + 30s;
    auto actions = story.core.step(now, gateway_input::attempt_refused{opened.key, cold});
    for (; now < start + 90s; now += 100ms) {
        cr_assert(find<gateway_output::refuse>(actions) == nullptr);
        if (const auto* again = find<gateway_output::open_attempt>(actions)) {
            ++tries;
            opened = *again;
            actions = story.core.step(now, gateway_input::attempt_refused{opened.key, cold});
        }
        else {
            actions = story.core.step(now, gateway_input::tick{});
        }
    }
    cr_assert(tries >= 10 && tries <= 30, "%d", tries);
    while (find<gateway_output::open_attempt>(actions) == nullptr && now < start + 100s) {
        now += 100ms;
        actions = story.core.step(now, gateway_input::tick{});
    }
    const auto last = *find<gateway_output::open_attempt>(actions);
    cr_assert(last.spec.resume_offset == 2);
    const auto ended = story.core.step(now, gateway_input::attempt_finished{last.key, 2, "stop"});
    cr_assert(find<gateway_output::finish>(ended) != nullptr);
    cr_assert(story.core.in_flight() == 0);
}

FAULT_CELL_MORE(request_cancel, message_lost, paused)
{
    // A caller leaves while its work is paused. Nothing of it may start later, and what its account held is
    // given back.
    paused_with_two_tokens story;
    auto& core = story.core;
    feed(core, start + 2s, gateway_input::caller_left{exchange_number(1)});
    cr_assert(core.paused() == 0);
    cr_assert(core.in_flight() == 0);
    hear_load(core, start + 30s, 0);
    cr_assert(find<gateway_output::open_attempt>(core.step(start + 30s, gateway_input::tick{})) == nullptr);
}

FAULT_CELL_MORE(process_stop, two_faults, paused)
{
    // A gateway is stopped as planned, in a shortage, with paused work. The stop cuts off no request: the
    // paused work goes on at once, nothing is paused any more, and the stop ends with its whole answer.
    paused_with_two_tokens story;
    auto& core = story.core;
    hear_load(core, start + 2s, far_too_much);
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
