#include "app/program.h"
#include "dragonflymill/bundle/bundle_source.h"
#include "runtime/text_file.h"
#include "settings/gateway_settings.h"
#include "settings/settings_reader.h"
#include "settings/sidecar_settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <set>
#include <sstream>

namespace dragonflymill::app {

namespace {

constexpr std::size_t max_bundle_bytes = 1U << 20U;

/// A deployment under examples/ with the expected numbers of entries in its bundle.
struct deployment
{
    char name[16];
    std::size_t engines;
    std::size_t services;
    std::size_t accounts;
};

deployment deployments[] = {{"cooperative", 16, 3, 10}, {"birchlog", 14, 3, 10}};

auto path_of(const deployment& example, const std::string& name) -> std::string
{
    return std::string(DRAGONFLYMILL_SOURCE_DIR "/examples/") + example.name + "/" + name;
}

void expect_accepted(const arguments& words)
{
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    cr_assert(run_program(words, io) == exit_code::success, "%s", err.str().c_str());
}

auto bundle_of(const deployment& example) -> bundle
{
    const auto text = runtime::read_text_file(path_of(example, "bundle.ini"), max_bundle_bytes);
    cr_assert(text.has_value());
    auto read = parse_bundle_source(text.value());
    cr_assert(read.has_value());
    return read.value();
}

auto engine_count(const bundle& content) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(content.upstreams.begin(), content.upstreams.end(),
                      [](const upstream_entry& entry) { return entry.kind == upstream_kind::engine; }));
}

void expect_known_domain(const bundle& content, const process_settings& process)
{
    const bool known = std::any_of(
        content.domains.begin(), content.domains.end(), [&process](const failure_domain_entry& entry) {
            return entry.id == process.failure_domain && entry.region == process.region;
        });
    cr_assert(known, "the bundle lacks the failure domain of the settings, or has it in another region");
}

} // namespace

ParameterizedTestParameters(examples, pass_the_checks_and_agree_with_each_other)
{
    return cr_make_param_array(deployment, deployments, std::size(deployments));
}

ParameterizedTest(deployment* example, examples, pass_the_checks_and_agree_with_each_other)
{
    expect_accepted({"bundle", "check", path_of(*example, "bundle.ini")});
    expect_accepted({"gateway", "--config", path_of(*example, "gateway.ini"), "--check"});
    const auto content = bundle_of(*example);
    cr_assert(content.domains.size() == 3);
    cr_assert(engine_count(content) == example->engines);
    cr_assert(content.upstreams.size() - engine_count(content) == example->services);
    cr_assert(content.accounts.size() == example->accounts);
    gateway_settings gateway;
    cr_assert(read_settings_file(path_of(*example, "gateway.ini"), gateway_schema(gateway)).empty());
    expect_known_domain(content, gateway.process);
    for (const auto* name : {"sidecar-engine.ini", "sidecar-booking.ini"}) {
        expect_accepted({"sidecar", "--config", path_of(*example, name), "--check"});
        sidecar_settings sidecar;
        cr_assert(read_settings_file(path_of(*example, name), sidecar_schema(sidecar)).empty());
        expect_known_domain(content, sidecar.process);
        const auto found =
            std::find_if(content.upstreams.begin(), content.upstreams.end(),
                         [&sidecar](const upstream_entry& entry) { return entry.id == sidecar.upstream.id; });
        cr_assert(found != content.upstreams.end());
        cr_assert(found->sidecar_address == to_text(sidecar.grpc_listen));
        cr_assert(found->host == sidecar.process.host);
        cr_assert(found->domain == sidecar.process.failure_domain);
    }
}

ParameterizedTestParameters(examples, give_each_upstream_its_own_host_and_address)
{
    return cr_make_param_array(deployment, deployments, std::size(deployments));
}

ParameterizedTest(deployment* example, examples, give_each_upstream_its_own_host_and_address)
{
    const auto content = bundle_of(*example);
    std::set<std::string> addresses;
    std::set<host_id> hosts;
    for (const auto& entry : content.upstreams) {
        cr_assert(addresses.insert(entry.sidecar_address).second, "%s", entry.id.text().c_str());
        cr_assert(hosts.insert(entry.host).second, "%s", entry.id.text().c_str());
    }
}

} // namespace dragonflymill::app
