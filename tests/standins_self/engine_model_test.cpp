#include "standins/engine_model.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::standins;

namespace {

auto warm_settings() -> engine_settings
{
    engine_settings out;
    out.starts_cold = false;
    return out;
}

auto prompt_of(token_count tokens, char letter = 'a') -> prompt_digest
{
    return digest_of(std::string(static_cast<std::size_t>(tokens) * bytes_per_token, letter));
}

auto order_of(const std::string& id, token_count tokens, int priority = 0) -> completion_order
{
    completion_order out;
    out.request_id = id;
    out.attempt = 1;
    out.model = "m";
    out.priority = priority;
    out.prompt = prompt_of(tokens, id.front());
    out.max_tokens = 10;
    return out;
}

/// Events of one stream, combined.
struct stream_outcome
{
    instant first_token{};
    std::string text;
    std::string reason;
    bool lost = false;
};

auto run_until_idle(engine_model& model, std::map<work_id, stream_outcome>& out)
{
    for (auto next = model.next_wake(); next; next = model.next_wake()) {
        for (const auto& event : model.advance(*next)) {
            auto& stream = out[event.work];
            if (event.kind == engine_event::type::token) {
                stream.first_token = stream.text.empty() ? model.now() : stream.first_token;
                stream.text += event.text;
            }
            stream.reason = event.kind == engine_event::type::end ? event.text : stream.reason;
            stream.lost = stream.lost || event.kind == engine_event::type::lost;
        }
    }
}

} // namespace

Test(engine_model, complete_answer_is_as_expected_and_frees_memory)
{
    engine_model model(warm_settings());
    const auto [status, work] = model.submit(order_of("a", 1'000));
    cr_assert(status == 200);
    cr_assert(model.memory_used() == 1'010);
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    cr_assert(seen[work].text == expected_answer("m", std::string(4'000, 'a'), 10));
    cr_assert(seen[work].reason == "length");
    cr_assert(model.memory_used() == 0);
    cr_assert(model.runs().back().outcome == "length");
}

Test(engine_model, resumed_stream_continues_the_same_answer)
{
    engine_model model(warm_settings());
    auto order = order_of("a", 1'000);
    order.resume_offset = 4;
    const auto work = model.submit(order).second;
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    const auto whole = expected_answer("m", std::string(4'000, 'a'), 10);
    cr_assert(seen[work].text == whole.substr(4 * answer_token("m", 0, 0).size()));
}

Test(engine_model, same_inputs_give_the_same_events)
{
    const auto run = [] {
        engine_model model(warm_settings());
        std::vector<engine_event> all;
        (void)model.submit(order_of("a", 50'000, 1));
        (void)model.submit(order_of("b", 2'000));
        for (auto next = model.next_wake(); next; next = model.next_wake()) {
            const auto events = model.advance(*next);
            all.insert(all.end(), events.begin(), events.end());
        }
        return all;
    };
    cr_assert(run() == run());
}

Test(engine_model, high_priority_prompt_preempts_a_long_prefill_between_chunks)
{
    engine_model model(warm_settings());
    const auto long_work = model.submit(order_of("l", 200'000, 2)).second;
    (void)model.advance(instant(100ms));
    const auto short_work = model.submit(order_of("s", 1'000, 0)).second;
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    cr_assert(seen[short_work].first_token < instant(400ms));
    cr_assert(seen[long_work].first_token > instant(8s));
}

Test(engine_model, step_takes_longer_with_more_streams_and_context)
{
    const auto finish_time = [](int streams, token_count context) {
        engine_model model(warm_settings());
        for (int i = 0; i < streams; ++i) {
            (void)model.submit(order_of(std::string(1, static_cast<char>('a' + i)), context));
        }
        std::map<work_id, stream_outcome> seen;
        run_until_idle(model, seen);
        return model.now();
    };
    const auto prefill = [](token_count tokens) { return duration(tokens * 40); };
    const auto alone = finish_time(1, 1'000) - prefill(1'000);
    cr_assert(finish_time(8, 1'000) - prefill(8'000) > alone);
    cr_assert(finish_time(1, 200'000) - prefill(200'000) > alone);
}

Test(engine_model, cached_prefix_is_not_computed_again)
{
    auto settings = warm_settings();
    settings.event_loss = 0.5;
    engine_model model(settings);
    (void)model.submit(order_of("a", 10'240));
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    (void)model.submit(order_of("a", 10'240 + 512));
    cr_assert(model.runs().back().prefilled == 512);
    cr_assert(model.cache_events(0).empty(), "events are late");
    (void)model.advance(model.now() + 1s);
    cr_assert(!model.cache_events(0).empty());
    cr_assert(model.cache_events(0).size() < 42, "some never show");
}

Test(engine_model, rejects_excess_memory_unknown_models_and_duplicates)
{
    engine_model model(warm_settings());
    cr_assert(model.submit(order_of("a", 450'000)).first == 413);
    cr_assert(model.submit(order_of("b", 300'000)).first == 200);
    cr_assert(model.submit(order_of("c", 300'000)).first == 429);
    auto unknown = order_of("d", 10);
    unknown.model = "other";
    cr_assert(model.submit(unknown).first == 404);
    cr_assert(model.submit(order_of("b", 10)).first == 409, "the same attempt twice");
}

Test(engine_model, detached_stream_holds_memory_until_it_is_cancelled)
{
    engine_model model(warm_settings());
    const auto work = model.submit(order_of("a", 1'000)).second;
    model.detach(work);
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    cr_assert(model.memory_used() == 1'010);
    cr_assert(!model.cancel("a"));
    cr_assert(model.memory_used() == 0);
}

Test(engine_model, cold_engine_crashes_under_full_load_and_loses_all_state)
{
    engine_model model(engine_settings{});
    const auto start = model.start_id();
    work_id first = 0;
    for (char letter = 'a'; letter < 'j' && model.up(); ++letter) {
        const auto work = model.submit(order_of(std::string(1, letter), 9'000)).second;
        first = first == 0 ? work : first;
    }
    cr_assert(model.falls() == 1);
    cr_assert(model.start_id() != start);
    cr_assert(model.held().empty());
    std::map<work_id, stream_outcome> seen;
    run_until_idle(model, seen);
    cr_assert(seen[first].lost);
    cr_assert(model.submit(order_of("z", 500)).first == 503);
    (void)model.advance(model.now() + 4s);
    cr_assert(model.submit(order_of("z", 500)).first == 200);
}

Test(engine_model, cold_engine_becomes_warm_under_light_load)
{
    engine_model model(engine_settings{});
    std::map<work_id, stream_outcome> seen;
    for (char letter = 'a'; letter <= 'f'; ++letter) {
        (void)model.submit(order_of(std::string(1, letter), 30'000));
        run_until_idle(model, seen);
    }
    cr_assert(!model.cold());
    cr_assert(model.falls() == 0);
    model.turn_cold();
    cr_assert(model.cold());
}

Test(engine_model, span_is_held_until_released_and_admits_a_prompt_larger_than_memory)
{
    engine_model source(warm_settings());
    cr_assert(source.export_span("r", "r.0", 400'000).first == 200);
    std::map<work_id, stream_outcome> seen;
    run_until_idle(source, seen);
    cr_assert(source.memory_used() == 400'000);
    source.release_span("r.0");
    source.release_span("r.0");
    cr_assert(source.memory_used() == 0);

    engine_model decoder(warm_settings());
    auto order = order_of("r", 800'000);
    cr_assert(decoder.submit(order).first == 413);
    cr_assert(decoder.import_span("r.0", 400'000) == 200);
    order.kv_imports = {"r.0"};
    cr_assert(decoder.submit(order).first == 200);
    cr_assert(decoder.runs().back().prefilled == 400'000);
}

Test(engine_model, low_priority_span_waits_for_a_later_prompt)
{
    engine_model model(warm_settings());
    cr_assert(model.export_span("gang", "gang.0", 200'000, 2).first == 200);
    const auto [status, work] = model.submit(order_of("medium", 20'000, 1));
    cr_assert(status == 200);
    std::vector<engine_event> events;
    while (events.empty()) {
        events = model.advance(*model.next_wake());
    }
    cr_assert(events.front().work == work && events.front().kind == engine_event::type::token);
}

Test(engine_model, only_engines_that_honour_fencing_reject_an_old_number)
{
    for (const bool honours : {true, false}) {
        auto settings = warm_settings();
        settings.honours_fence = honours;
        engine_model model(settings);
        cr_assert(model.give({7, "load_model", "n", {}, {}}) == 200);
        cr_assert(model.give({6, "load_model", "o", {}, {}}) == (honours ? 409 : 200));
        cr_assert(model.control().models().size() == 1, "a load takes time");
        (void)model.advance(instant(3s));
        cr_assert(model.control().models().size() == (honours ? 2 : 3));
    }
}

Test(engine_model, load_report_lags)
{
    engine_model model(warm_settings());
    (void)model.advance(instant(1s));
    (void)model.submit(order_of("a", 100'000));
    cr_assert(model.reported_load().running == 0);
    (void)model.advance(instant(1'500ms));
    cr_assert(model.reported_load().running == 1);
}
