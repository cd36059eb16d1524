#include "platform/replica_orders.h"
#include "platform/replica_reports.h"
#include "platform/settings_file.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill;
using namespace dragonflymill::platform;

namespace {

constexpr const char* good = "nodeName=front-a-1\nzone=a\nip=10.1.0.40\nlisten.front=10.1.0.40:8227\n"
                             "listen.ready=10.1.0.40:8220\ninternalPorts=7340,7355\nunknown.field=1\n"
                             "seeds=10.1.0.40:8229,10.2.0.29:8229\nbounds.graceS=8\nbounds.retrySlack=102\n"
                             "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                             "platform.address=10.200.1.7:8223\n";

auto without(const std::string& field) -> std::string
{
    std::string text = good;
    const auto at = text.find(field + "=");
    return text.erase(at, text.find('\n', at) - at + 1);
}

} // namespace

Test(settings_file, accepts_a_valid_file)
{
    const auto reading = read_node_settings(good);
    cr_assert(reading.mistakes.empty());
    const auto& gateway = reading.settings.gateway;
    cr_assert(gateway.name == "front-a-1" && gateway.failure_domain == "a");
    cr_assert(to_text(gateway.callers) == "10.1.0.40:8227" && to_text(gateway.peers) == "10.1.0.40:7340");
    cr_assert(gateway.seeds == std::vector<std::string>({"10.1.0.40:7340", "10.2.0.29:7340"}));
    cr_assert(gateway.grace == duration(8s) && gateway.retries.slack == 102.0);
    cr_assert(reading.settings.store_address == "10.200.1.7:8223");
}

Test(settings_file, reports_all_mistakes)
{
    std::string text = without("zone");
    text += "listen.front=nowhere\nbounds.graceS=soon\n";
    const auto reading = read_node_settings(text);
    cr_assert(reading.mistakes.size() == 3, "%zu", reading.mistakes.size());
    cr_assert(read_node_settings("").mistakes.size() >= 6);
}

Test(replica_orders, encodes_orders_as_complete_requests)
{
    const auto orders = replica_orders();
    const std::string reserve = orders.reserve({"10.0.0.9:80", "t1", 500, 3s});
    cr_assert(reserve.starts_with("POST /dragonflymill/order HTTP/1.1\r\nHost: 10.0.0.9:80\r\n"));
    cr_assert(reserve.ends_with(R"({"operation":"reserve","id":"t1","tokens":500,"holdMs":3000})"));
    cr_assert(orders.release({"10.0.0.9:80", "t1"}).ends_with(R"({"operation":"release","id":"t1"})"));
    cr_assert(orders.encode_prefill_engines({{"10.0.0.9:80", "t1"}, {"10.0.0.8:80", ""}}) ==
              "10.0.0.9:80/t1,10.0.0.8:80");
}

// Guards against requests for reports that can't be turned off, and against a default of none.
Test(settings_file, interval_of_reports_is_optional)
{
    cr_assert(read_node_settings(good).settings.gateway.report_interval == duration(1s));
    const std::string text = good;
    cr_assert(read_node_settings(text + "reports.intervalMs=250\n").settings.gateway.report_interval ==
              duration(250ms));
    cr_assert(read_node_settings(text + "reports.intervalMs=0\n").settings.gateway.report_interval ==
              duration::zero());
    cr_assert(read_node_settings(text + "reports.intervalMs=often\n").mistakes.size() == 1);
}

// Guards against a gateway that may hold more for callers than its machine has, and against settings that
// are taken as they are.
Test(settings_file, capacity_is_a_share_of_what_the_machine_has)
{
    const std::string text = good;
    const auto capacity_of = [&](const std::string& lines) {
        return read_node_settings(text + lines).settings.gateway.capacity;
    };
    cr_assert(capacity_of("") == edge::caller_capacity{});
    const auto small = capacity_of("limits.memoryMb=160\nlimits.maxFds=4100\n");
    cr_assert(small.memory_bytes == 80U << 20U);
    cr_assert(2 * small.connections + small.peer_fetches < 3'900 && small.connections > 1'400,
              "%zu connections", small.connections);
    cr_assert(capacity_of("limits.maxFds=250\n").connections == 8);
    const auto own = capacity_of("limits.memoryMb=160\ncallers.memoryMb=20\ncallers.connections=7\n"
                                 "callers.bodyTimeMs=1500\n");
    cr_assert(own.memory_bytes == 20U << 20U && own.connections == 7 && own.body_time == 1500ms);
    for (const char* wrong :
         {"limits.memoryMb=8", "limits.memoryMb=much", "limits.maxFds=100",
          "limits.memoryMb=160\ncallers.memoryMb=161", "callers.connections=0", "callers.bodyTimeMs=5"}) {
        cr_assert(read_node_settings(text + wrong + "\n").mistakes.size() == 1, "%s", wrong);
    }
}

Test(replica_reports, pace_of_a_report_is_a_slowdown)
{
    const auto reports = replica_reports();
    cr_assert(reports.request("10.0.0.9:80")
                  .starts_with("GET /dragonflymill/report HTTP/1.1\r\nHost: 10.0.0.9:80\r\n"));
    cr_assert(reports.decode(R"({"stage":"both","pace":5.2,"tickets":[]})") == edge::upstream_report{5.2});
    cr_assert(reports.decode(R"({"pace":1})") == edge::upstream_report{1.0});
    cr_assert(reports.decode(R"({"stage":"both"})") == edge::upstream_report{},
              "a report that states no pace");
}

// Guards against a slowdown that is made up from what isn't a report, and against an exception that ends the
// process.
Test(replica_reports, unreadable_report_says_nothing)
{
    const auto reports = replica_reports();
    const std::string deep(10'000, '[');
    for (const std::string& bad :
         {std::string(), std::string("pace"), std::string("[]"), deep, std::string(R"({"pace":"5"})"),
          std::string(R"({"pace":null})"), std::string(R"({"pace":0})"), std::string(R"({"pace":-3})"),
          std::string(R"({"pace":1e999})"), std::string(R"({"pace":5)"), std::string("{\"pace\":5}\xff")}) {
        cr_assert(!reports.decode(bad), "%s", bad.c_str());
    }
}
