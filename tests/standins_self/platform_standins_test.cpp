#include "standins/config_standin.h"
#include "standins/host_list_standin.h"
#include "standins/service_standin.h"
#include "standins/weight_store_standin.h"
#include "standins_self/support_calls.h"
#include "support/child_process.h"

#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace dragonflymill;
using namespace dragonflymill::standins;

Test(service_standin, counts_every_execution_of_a_key)
{
    const service_standin service({});
    const auto address = address_of(service);
    const http_call booking{address, "POST", "/book", {{"Idempotency-Key", "k"}}, "{}"};
    cr_assert(is_whole(call_and_wait(booking)));
    (void)post(address, "/_fault", R"({"drop_after_run":true})");
    cr_assert(!call_and_wait(booking).failure.empty());
    (void)post(address, "/_fault", R"({"drop_before_run":true})");
    cr_assert(!call_and_wait(booking).failure.empty());
    cr_assert(is_whole(post(address, "/book", R"({"id":"in the body"})")));
    const auto ledger = get(address, "/_ledger").body;
    cr_assert(ledger.find(R"("k":2)") != std::string::npos, "%s", ledger.c_str());
    cr_assert(ledger.find(R"("in the body":1)") != std::string::npos);
}

Test(config_standin, watch_returns_on_a_change_or_on_timeout)
{
    const config_standin config({});
    const auto address = address_of(config);
    cr_assert(get(address, "/v1/keys/bundle").status == 404);
    cr_assert(get(address, "/v1/watch?key=bundle&after=0&wait_ms=10").status == 204);
    http_answer seen;
    std::thread watcher([&] { seen = get(address, "/v1/watch?key=bundle&after=0&wait_ms=20000"); });
    while (number_field(object_of(get(address, "/_ledger")), "waiting_watches") == 0) {
        std::this_thread::yield();
    }
    cr_assert(is_whole(post(address, "/_operator/bundle", "hello")));
    watcher.join();
    cr_assert(seen.body == R"({"revision":1,"value":"aGVsbG8="})", "%s", seen.body.c_str());
    cr_assert(get(address, "/v1/keys/bundle").body == seen.body);
}

Test(config_standin, rejects_writes_and_oversized_values)
{
    const config_standin config({});
    const auto address = address_of(config);
    cr_assert(post(address, "/v1/keys/bundle", "x").status == 405);
    cr_assert(post(address, "/_operator/bundle", std::string((1U << 20U) + 1, 'x')).status == 413);
    cr_assert(post(address, "/_operator/bundle", std::string(1U << 20U, 'x')).status == 200);
}

Test(config_standin, rejects_reads_over_the_budget)
{
    const config_standin config({0, 3});
    const auto address = address_of(config);
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        refused += get(address, "/v1/keys/bundle").status == 429 ? 1 : 0;
    }
    cr_assert(refused > 0);
    cr_assert(number_field(object_of(get(address, "/_ledger")), "refused") == refused);
}

Test(config_standin, readers_see_outages_and_stale_values)
{
    const config_standin config({});
    const auto address = address_of(config);
    (void)post(address, "/_operator/bundle", "old");
    (void)post(address, "/_fault", R"({"stale":true})");
    (void)post(address, "/_operator/bundle", "new");
    cr_assert(number_field(object_of(get(address, "/v1/keys/bundle")), "revision") == 1);
    (void)post(address, "/_fault", R"({"stale":false,"down":true})");
    cr_assert(get(address, "/v1/keys/bundle").status == 503);
    (void)post(address, "/_fault", R"({"down":false})");
    cr_assert(number_field(object_of(get(address, "/v1/keys/bundle")), "revision") == 2);
}

Test(host_list_standin, publishes_a_change_after_the_lag)
{
    const host_list_standin hosts({0, 1h});
    const auto address = address_of(hosts);
    const std::string host = R"({"host":"h1","address":"127.0.0.1","failure_domain":"a","state":"live"})";
    (void)post(address, "/_operator/hosts", host);
    cr_assert(get(address, "/v1/hosts").body == R"({"hosts":[]})");
    (void)post(address, "/_fault", R"({"lag_ms":20})");
    (void)post(address, "/_operator/hosts", host);
    while (get(address, "/v1/hosts").body != R"({"hosts":[)" + host + "]}") {
        std::this_thread::yield();
    }
    (void)post(address, "/_operator/hosts", R"({"host":"h1","state":"gone"})");
    while (get(address, "/v1/hosts").body != R"({"hosts":[]})") {
        std::this_thread::yield();
    }
}

Test(weight_store_standin, rejects_loads_over_the_concurrency_limit)
{
    weight_store_standin_settings settings;
    settings.loads_at_once = 1;
    settings.load_time = 100ms;
    const weight_store_standin store(settings);
    const auto address = address_of(store);
    http_answer first;
    std::thread loader([&] { first = get(address, "/v1/weights/m"); });
    while (number_field(object_of(get(address, "/_ledger")), "running") == 0) {
        std::this_thread::yield();
    }
    cr_assert(get(address, "/v1/weights/m").status == 429);
    loader.join();
    cr_assert(is_whole(first));
    cr_assert(first.body.size() == settings.size);
    cr_assert(get(address, "/v1/weights/m").status == 200);
}

Test(standins_program, runs_many_standins_in_one_process_until_sigterm)
{
    test_support::child_process program(DRAGONFLYMILL_BINARY_DIR "/standins",
                                        {"engines=3", "service", "config", "hosts", "weights"});
    cr_assert(program.started());
    for (int i = 0; i < 7; ++i) {
        const auto port = program.read_port();
        cr_assert(port != 0);
        cr_assert(get("127.0.0.1:" + std::to_string(port), "/").status != 0);
    }
    program.signal(SIGTERM);
    cr_assert(program.wait() == 0);
    cr_assert(program.pid() == 0);
}

Test(standins_program, invalid_usage_exits_with_status_2)
{
    test_support::child_process program(DRAGONFLYMILL_BINARY_DIR "/standins", {"nonsense"});
    cr_assert(program.wait() == 2);
}
