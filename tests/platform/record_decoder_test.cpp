#include "platform/record_decoder.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;
using namespace dragonflymill::platform;

namespace {

auto entry_of(const std::string& json) -> decoded_record
{
    return decode_record({"servers/i-1", json, 5, false});
}

constexpr const char* good_entry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","state":"ready","slots":16,"coldLeftMs":1500,"sequence":4,"born":7})";

} // namespace

Test(record_decoder, decodes_an_upstream_entry)
{
    const auto entry = std::get<upstream_entry>(entry_of(good_entry));
    cr_assert(entry.id == "i-1" && entry.service == "s" && entry.address == "10.0.0.9:8080");
    cr_assert(entry.failure_domain == "z" && entry.slots == 16 && !entry.leaving);
    cr_assert(entry.cold_remaining == duration(1500ms) && entry.started_ms == 7);
}

// Guards against a crash or a bogus upstream when another writer stores something else under an upstream's
// key.
Test(record_decoder, malformed_entries_are_unusable)
{
    for (const char* bad : {"", "no json", "[]", "{}", "\xff\xfe",
                            R"({"service":3,"address":"10.0.0.9:80","zone":"z","state":"ready"})",
                            R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})",
                            R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"sleeping"})",
                            R"({"service":"s","address":"10.0.0.9:80","state":"ready"})"}) {
        cr_assert(std::holds_alternative<unusable_record>(entry_of(bad)), "%s", bad);
    }
}

Test(record_decoder, decodes_a_draining_replica)
{
    const auto fact = entry_of(
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","state":"draining","slots":1,"coldLeftMs":0,"sequence":0})");
    cr_assert(std::get<upstream_entry>(fact).leaving);
}

Test(record_decoder, decodes_a_complete_configuration)
{
    const auto fact = decode_record({"op/config", R"({"version":7,
        "routes":[{"name":"r","host":"A.Example","pathPrefix":"/x/","kind":"streaming","timeoutMs":9000,
                   "latencyGoalMs":300,"priority":1,"split":[{"service":"s","weight":9},{"service":"t","weight":1}],
                   "maxAttempts":2,"streamResume":true,"gapAimMs":200},
                  {"name":"odd","host":"a.example","pathPrefix":"/y/","kind":"new","service":"s"},
                  {"name":"lost","host":"a.example"}, 5],
        "services":[{"name":"s","maxConns":4,"coldS":3.0,"coldPerS":38,
                     "engine":{"slots":16,"kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.005,
                               "context_per_k":0.002,"read_per_s":256000.0,"pairs_per_m":0.09,"chunk":2048,"report_lag_ms":300}}],
        "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"t1","apiKeys":["k"],"priority":2}]})",
                                     9, false});
    const auto config = std::get<std::shared_ptr<const fleet_config>>(fact);
    cr_assert(config->version() == 7 && config->routes().size() == 2, "a route without a service is skipped");
    const route_rule* route = config->match_route("a.example", "/x/1");
    cr_assert(route != nullptr && route->repeatable() && route->services.size() == 2);
    cr_assert(route->time_limit == duration(9s) && route->tbt_target == duration(200ms));
    cr_assert(config->match_route("a.example", "/y/1")->kind == call_kind::non_idempotent,
              "an unknown kind counts as non-idempotent");
    const service_rule* service = config->find_service("s");
    cr_assert(service->engine && service->engine->prefill_tokens_per_ms == 256.0 &&
              service->cold_time == duration(3s) && service->engine->report_lag == duration(300ms));
    cr_assert(config->limits().header_bytes == 100 && config->limits().idle_time == duration(15s));
    cr_assert(config->find_account("k")->name == "t1" && config->requires_api_key());
}

Test(record_decoder, malformed_configurations_are_unusable)
{
    for (const char* bad :
         {"", "{", "{}", R"({"version":"7","routes":[],"services":[]})", R"({"version":7})"}) {
        cr_assert(std::holds_alternative<unusable_record>(decode_record({"op/config", bad, 1, false})));
    }
    cr_assert(std::holds_alternative<unusable_record>(decode_record({"other/key", "{}", 1, false})));
}

// Guards against times that overflow: they would be in the past, or the process would end.
Test(record_decoder, bounds_the_times_of_a_configuration)
{
    const auto config_with = [](const std::string& ms) {
        const auto fact = decode_record(
            {"op/config",
             R"({"version":7,"routes":[{"name":"r","host":"a","pathPrefix":"/x/","service":"s","timeoutMs":)" +
                 ms + R"(,"latencyGoalMs":)" + ms + R"(,"gapAimMs":)" + ms +
                 R"(}],"services":[{"name":"s","coldS":)" + ms + R"(}],"limits":{"headerTimeoutMs":)" + ms +
                 "}}",
             9, false});
        return std::get<std::shared_ptr<const fleet_config>>(fact);
    };
    for (const char* large : {"1e17", "1e300", "9223372036854775807", "18446744073709551615"}) {
        const auto config = config_with(large);
        cr_assert(config->match_route("a", "/x/1")->time_limit == duration(24h), "%s", large);
        cr_assert(config->find_service("s")->cold_time == duration(24h));
        cr_assert(config->limits().header_time == duration(24h));
    }
    cr_assert(config_with("-5")->match_route("a", "/x/1")->time_limit == duration::zero());
}

Test(record_decoder, decodes_an_evacuated_zone_as_a_drained_domain)
{
    const auto fact = decode_record({"op/evacuate/north-a", "{}", 1, false});
    cr_assert(std::get<drained_domain>(fact).failure_domain == "north-a");
}

Test(record_decoder, decodes_pages_and_changes)
{
    const auto page = decode_page(
        R"({"items":[{"key":"a","value":"aGk=","revision":4},{"key":"b","value":"!","revision":5},{"key":7}],
            "morePages":true,"storeRevision":9})");
    cr_assert(page && page->more && page->revision == 9 && page->records.size() == 2);
    cr_assert(page->records[0].value == "hi" && page->records[0].revision == 4);
    const auto changes =
        decode_page(R"({"events":[{"key":"a","revision":10,"deleted":true}],"storeRevision":10})");
    cr_assert(changes && changes->records[0].removed && changes->records[0].value.empty());
    for (const char* bad : {"", "[]", "{}", R"({"items":[]})", R"({"storeRevision":3})"}) {
        cr_assert(!decode_page(bad), "%s", bad);
    }
}
