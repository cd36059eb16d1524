#include "control/control_plane.h"

#include "control/drain_request.h"
#include "control/peer_client.h"
#include "control/platform_reader.h"
#include "plane_fixture.h"
#include "standins/config_standin.h"
#include "standins/http_client.h"
#include "support/fault_cell.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

using planes = std::vector<std::unique_ptr<plane_fixture>>;

auto start_three() -> planes
{
    planes started;
    started.push_back(std::make_unique<plane_fixture>(0));
    const auto seed = started.front()->plane->self().gossip_address;
    for (const std::size_t number : {1U, 2U}) {
        started.push_back(std::make_unique<plane_fixture>(number, std::vector{seed}));
    }
    return started;
}

auto all(const planes& started, const std::function<bool(const plane_fixture&)>& condition) -> bool
{
    return std::all_of(started.begin(), started.end(), [&](const auto& each) { return condition(*each); });
}

auto knows_both_peers(const plane_fixture& each) -> bool
{
    const auto seen = each.snapshot();
    return seen != nullptr && seen->members.size() == 2;
}

auto push_result(const plane_fixture& to, const bundle& value) -> result<void>
{
    return control::peer_client(5s).push(to.plane->self().peer_address, pushed(value));
}

// Pushes are rejected until the process knows that no peer has a bundle.
auto push_until_accepted(const planes& started, const bundle& value) -> bool
{
    return eventually([&] { return push_result(*started.front(), value).has_value(); });
}

} // namespace

Test(control_plane, processes_discover_each_other_and_replicate_a_pushed_bundle)
{
    const auto started = start_three();
    cr_assert(eventually([&] { return all(started, knows_both_peers); }));
    cr_assert(push_until_accepted(started, test_bundle(7)));
    cr_assert(eventually([&] { return all(started, [](const auto& each) { return each.version() == 7; }); }));
    cr_assert(push_result(*started[1], test_bundle(8)).has_value());
    cr_assert(eventually([&] { return all(started, [](const auto& each) { return each.version() == 8; }); }));
    const auto seen = started[2]->snapshot();
    cr_assert(seen->ready && *seen->in_force == test_bundle(8));
    cr_assert(control::live_gateways(*seen, started[2]->plane->self()).size() == 3);
    cr_assert(seen->gateways_expected == 3);
}

Test(control_plane, rejects_an_invalid_push_with_the_reason)
{
    const auto started = start_three();
    cr_assert(push_until_accepted(started, test_bundle(7)));
    auto bad = test_bundle(8);
    bad.service_routes.front().upstreams.emplace_back("nobody");
    const auto refused = push_result(*started.front(), bad);
    cr_assert(refused.has_error() && refused.error().message().find("nobody") != std::string::npos);
    const auto old = push_result(*started.front(), test_bundle(6));
    cr_assert(old.has_error() && !old.error().remedy().empty());
    cr_assert(started.front()->version() == 7);
}

Test(control_plane, operator_drain_reaches_all_processes_and_requires_the_key)
{
    const auto started = start_three();
    cr_assert(eventually([&] { return all(started, knows_both_peers); }));
    const control::peer_client client(5s);
    const auto address = started[1]->plane->self().peer_address;
    const failure_domain_id domain("a");
    const auto wrong = datagram_seal::create({"not the fleets key"}).value();
    const auto right = datagram_seal::create({plane_fixture::key}).value();
    const auto forged = control::seal_drain(wrong, domain, false, runtime::wall_now());
    cr_assert(client.drain(address, forged).has_error());
    const auto word = control::seal_drain(right, domain, false, runtime::wall_now());
    cr_assert(client.drain(address, word).has_value());
    cr_assert(client.drain(address, word).has_error(), "replayed request");
    const auto drained = [&](const plane_fixture& each) {
        return !control::accepts_new_work(*each.snapshot(), domain, host_id("h"));
    };
    cr_assert(eventually([&] { return all(started, drained); }));
    const auto back = control::seal_drain(right, domain, true, runtime::wall_now() + 5ms);
    cr_assert(eventually([&] { return client.drain(address, back).has_value(); }));
    cr_assert(eventually([&] {
        return !std::any_of(started.begin(), started.end(), [&](const auto& each) { return drained(*each); });
    }));
}

Test(control_plane, a_leaving_process_receives_no_new_work)
{
    const auto started = start_three();
    cr_assert(eventually([&] { return all(started, knows_both_peers); }));
    started[2]->plane->leave();
    cr_assert(eventually([&] {
        return !control::accepts_new_work(*started[0]->snapshot(), failure_domain_id("d2"), host_id("h2")) &&
               !control::accepts_new_work(*started[1]->snapshot(), failure_domain_id("d2"), host_id("h2"));
    }));
}

Test(control_plane, ignores_datagrams_sealed_with_another_key)
{
    const plane_fixture one(0);
    const plane_fixture other(1, {one.plane->self().gossip_address},
                              [](control::control_plane_options& options) {
                                  options.core.seal_keys = {"another key of 16 bytes"};
                              });
    cr_assert(eventually([&] { return one.plane->traffic().datagrams_received > 5; }));
    cr_assert(one.snapshot()->members.empty() && other.snapshot()->members.empty());
}

FAULT_CELL_MORE(bundle_read, config_down, sockets)
{
    // The service is down when three processes start, returns version 7 once it is up, and goes down again.
    // The processes must adopt 7 when the service replies, and a fourth process that starts later must get it
    // from its peers.
    standins::config_standin service({});
    static std::uint16_t port = 0;
    port = service.port();
    const auto with_service = [](control::control_plane_options& options) {
        options.configuration_service = {boost::asio::ip::make_address("127.0.0.1"), port};
        options.watch_wait = 500ms;
    };
    const auto post = [&](const std::string& path, const std::string& body) {
        return standins::call_and_wait({"127.0.0.1:" + std::to_string(port), "POST", path, {}, body}).status;
    };
    cr_assert(post("/_fault", R"({"down":true})") == 200);
    planes started;
    started.push_back(std::make_unique<plane_fixture>(0, std::vector<std::string>{}, with_service));
    const auto seed = started.front()->plane->self().gossip_address;
    started.push_back(std::make_unique<plane_fixture>(1, std::vector{seed}, with_service));
    started.push_back(std::make_unique<plane_fixture>(2, std::vector{seed}, with_service));
    const auto value = test_bundle(7);
    for (const auto& text : section_texts(value)) {
        cr_assert(post("/_operator/" + control::section_key(sha256(text)), text) == 200);
    }
    cr_assert(post("/_operator/bundle.manifest", encode_signed_manifest(test_signed(value))) == 200);
    cr_assert(post("/_fault", R"({"down":false})") == 200);
    cr_assert(eventually([&] { return all(started, [](const auto& each) { return each.version() == 7; }); }));
    cr_assert(post("/_fault", R"({"down":true})") == 200);
    const plane_fixture late_starter(3, {seed}, with_service);
    cr_assert(eventually([&] { return late_starter.version() == 7; }));
}
