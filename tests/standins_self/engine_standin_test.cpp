#include "standins/engine_standin.h"

#include "standins/weight_store_standin.h"
#include "standins_self/support_calls.h"

#include <criterion/criterion.h>
#include <thread>

using namespace dragonflymill;
using namespace dragonflymill::standins;

namespace {

auto warm_settings() -> engine_standin_settings
{
    engine_standin_settings out;
    out.time_scale = 0.01;
    out.engine.starts_cold = false;
    return out;
}

auto completion(const std::string& id, int max_tokens = 5) -> std::string
{
    return R"({"request_id":")" + id + R"(","attempt":1,"model":"m","prompt":"hello world","max_tokens":)" +
           std::to_string(max_tokens) + R"(,"stream":true})";
}

auto memory_used(const std::string& address) -> std::int64_t
{
    return number_field(object_of(get(address, "/_ledger")), "memory_used", -1);
}

auto occurrences(const std::string& text, const std::string& part) -> int
{
    int out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++out;
    }
    return out;
}

} // namespace

Test(engine_standin, stream_has_every_token_and_an_end_event)
{
    const engine_standin engine(warm_settings());
    const auto answer = post(address_of(engine), "/v1/completions", completion("r"));
    cr_assert(is_whole(answer), "%s", answer.failure.c_str());
    cr_assert(occurrences(answer.body, R"("type":"token")") == 5);
    cr_assert(occurrences(answer.body, R"("finish_reason":"length")") == 1);
    const auto second_token = answer_token("m", digest_of("hello world").hash, 1);
    cr_assert(occurrences(answer.body, R"("offset":1,"text":")" + second_token) == 1);
    cr_assert(memory_used(address_of(engine)) == 0);
}

Test(engine_standin, dropped_stream_has_no_end_event_and_holds_memory)
{
    const engine_standin engine(warm_settings());
    const auto address = address_of(engine);
    cr_assert(is_whole(post(address, "/_fault", R"({"drop_stream_after":2})")));
    const auto answer = post(address, "/v1/completions", completion("r"));
    cr_assert(!answer.failure.empty());
    cr_assert(occurrences(answer.body, R"("type":"token")") == 2);
    cr_assert(memory_used(address) == 8);
    cr_assert(post(address, "/v1/cancel", R"({"request_id":"r"})").body == R"({"held":false})");
    cr_assert(memory_used(address) == 0);
}

// Guards against a dropped stream whose memory is already released. If the engine's thread runs late, as on a
// busy machine, the token that drops the stream and the end of the answer are delivered together. The stream
// must be detached at the drop: detaching it when the connection has closed comes after its end.
Test(engine_standin, dropped_stream_holds_memory_when_the_engine_thread_is_late)
{
    auto settings = warm_settings();
    settings.time_scale = 1e-9;
    const engine_standin engine(settings);
    const auto address = address_of(engine);
    cr_assert(is_whole(post(address, "/_fault", R"({"drop_stream_after":2})")));
    const auto answer = post(address, "/v1/completions", completion("r"));
    cr_assert(!answer.failure.empty());
    cr_assert(occurrences(answer.body, R"("type":"token")") == 2);
    cr_assert(memory_used(address) == 8);
    cr_assert(post(address, "/v1/cancel", R"({"request_id":"r"})").body == R"({"held":false})");
    cr_assert(memory_used(address) == 0);
}

Test(engine_standin, stream_holds_memory_after_its_caller_disconnects)
{
    auto settings = warm_settings();
    settings.time_scale = 10;
    const engine_standin engine(settings);
    const auto answer = post(address_of(engine), "/v1/completions", completion("r", 100), 500ms);
    cr_assert(!answer.failure.empty());
    cr_assert(memory_used(address_of(engine)) == 103);
}

Test(engine_standin, silenced_connection_sends_nothing_while_new_ones_work)
{
    auto settings = warm_settings();
    settings.time_scale = 10;
    const engine_standin engine(settings);
    const auto address = address_of(engine);
    http_answer silent;
    std::thread caller([&] { silent = post(address, "/v1/completions", completion("r", 10), 1s); });
    while (memory_used(address) == 0) {
        std::this_thread::yield();
    }
    cr_assert(post(address, "/_fault", R"({"go_silent":true})").status == 200);
    cr_assert(get(address, "/v1/state").status == 200);
    caller.join();
    cr_assert(!silent.failure.empty());
    cr_assert(occurrences(silent.body, "finish_reason") == 0);
}

Test(engine_standin, wrong_request_id_affects_one_stream)
{
    const engine_standin engine(warm_settings());
    const auto address = address_of(engine);
    (void)post(address, "/_fault", R"({"wrong_request_id":true})");
    const auto wrong = post(address, "/v1/completions", completion("r1"));
    cr_assert(occurrences(wrong.body, R"("request_id":"r1")") == 0);
    const auto right = post(address, "/v1/completions", completion("r2"));
    cr_assert(occurrences(right.body, R"("request_id":"r2")") == 6);
}

Test(engine_standin, pause_delays_answers)
{
    const engine_standin engine(warm_settings());
    const auto address = address_of(engine);
    (void)post(address, "/_fault", R"({"pause_ms":1500})");
    cr_assert(!post(address, "/v1/cancel", "{}", 50ms).failure.empty());
    cr_assert(is_whole(get(address, "/v1/state")));
}

Test(engine_standin, dead_engine_refuses_connections_until_it_restarts_cold)
{
    const engine_standin engine(warm_settings());
    const auto address = address_of(engine);
    const auto start = number_field(object_of(get(address, "/v1/state")), "start");
    (void)post(address, "/_fault", R"({"die":true,"restart_ms":1000})");
    cr_assert(get(address, "/v1/state").status == 0);
    while (get(address, "/v1/state").status == 0) {
        std::this_thread::yield();
    }
    const auto state = object_of(get(address, "/v1/state"));
    cr_assert(number_field(state, "start") != start);
    cr_assert(flag_field(state, "cold"));
}

Test(engine_standin, spans_are_exported_imported_and_released)
{
    const engine_standin engine(warm_settings());
    const auto address = address_of(engine);
    const std::string span = R"({"request_id":"r","span":"r.0","begin":0,"end":640,"source":"127.0.0.1:1"})";
    cr_assert(is_whole(post(address, "/v1/kv/export", span)));
    cr_assert(memory_used(address) == 640);
    cr_assert(is_whole(post(address, "/v1/kv/release", span)));
    cr_assert(is_whole(post(address, "/v1/kv/import", span)));
    cr_assert(memory_used(address) == 10);
}

Test(engine_standin, rejected_weight_load_leaves_the_model_unloaded)
{
    weight_store_standin_settings store_settings;
    store_settings.loads_at_once = 1;
    const weight_store_standin store(store_settings);
    auto settings = warm_settings();
    settings.weight_store = address_of(store);
    settings.time_scale = 0.1;
    const engine_standin engine(settings);
    const auto address = address_of(engine);
    cr_assert(is_whole(post(address, "/v1/orders", R"({"fence":1,"order":"load_model","model":"a"})")));
    while (number_field(object_of(get(address_of(store), "/_ledger")), "running") == 0) {
        std::this_thread::yield();
    }
    cr_assert(is_whole(post(address, "/v1/orders", R"({"fence":1,"order":"load_model","model":"b"})")));
    while (get(address, "/v1/state").body.find(R"("loading":[])") == std::string::npos) {
        std::this_thread::yield();
    }
    cr_assert(get(address, "/v1/state").body.find(R"("models":["m","a"])") != std::string::npos);
    cr_assert(post(address, "/v1/orders", R"({"fence":0,"order":"set_role","role":"decode"})").status == 409);
}
