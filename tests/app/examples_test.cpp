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

constexpr std::size_t largest_bundle = 1U << 20U;

/// One of the deployments under examples/, at today's sizes.
struct deployment
{
    char name[16];
    std::size_t engines;
    std::size_t services;
    std::size_t accounts;
};

deployment deployments[] = {{"cooperative", 16, 3, 10}, {"birchlog", 14, 3, 10}};

auto file_of(const deployment& one, const std::string& name) -> std::string
{
    return std::string(DRAGONFLYMILL_SOURCE_DIR "/examples/") + one.name + "/" + name;
}

void accept(const arguments& words)
{
    std::ostringstream out;
    std::ostringstream err;
    command_io io{out, err};
    cr_assert(run_program(words, io) == exit_code::success, "%s", err.str().c_str());
}

auto bundle_of(const deployment& one) -> bundle
{
    const auto text = runtime::read_text_file(file_of(one, "bundle.ini"), largest_bundle);
    cr_assert(text.has_value());
    auto read = parse_bundle_source(text.value());
    cr_assert(read.has_value());
    return read.value();
}

auto engine_count(const bundle& all) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(all.upstreams.begin(), all.upstreams.end(),
                      [](const upstream_entry& each) { return each.kind == upstream_kind::engine; }));
}

void match(const bundle& all, const process_settings& process)
{
    const bool known =
        std::any_of(all.domains.begin(), all.domains.end(), [&process](const failure_domain_entry& each) {
            return each.id == process.failure_domain && each.region == process.region;
        });
    cr_assert(known, "the failure domain of the settings is in the bundle, in the same region");
}

} // namespace

ParameterizedTestParameters(examples, checks_accept_them_and_their_files_agree)
{
    return cr_make_param_array(deployment, deployments, std::size(deployments));
}

ParameterizedTest(deployment* one, examples, checks_accept_them_and_their_files_agree)
{
    accept({"bundle", "check", file_of(*one, "bundle.ini")});
    accept({"gateway", "--config", file_of(*one, "gateway.ini"), "--check"});
    const auto all = bundle_of(*one);
    cr_assert(all.domains.size() == 3);
    cr_assert(engine_count(all) == one->engines);
    cr_assert(all.upstreams.size() - engine_count(all) == one->services);
    cr_assert(all.accounts.size() == one->accounts);
    gateway_settings gateway;
    cr_assert(read_settings_file(file_of(*one, "gateway.ini"), gateway_schema(gateway)).empty());
    match(all, gateway.process);
    for (const auto* name : {"sidecar-engine.ini", "sidecar-booking.ini"}) {
        accept({"sidecar", "--config", file_of(*one, name), "--check"});
        sidecar_settings sidecar;
        cr_assert(read_settings_file(file_of(*one, name), sidecar_schema(sidecar)).empty());
        match(all, sidecar.process);
        const auto found =
            std::find_if(all.upstreams.begin(), all.upstreams.end(),
                         [&sidecar](const upstream_entry& each) { return each.id == sidecar.upstream.id; });
        cr_assert(found != all.upstreams.end());
        cr_assert(found->sidecar_address == to_text(sidecar.grpc_listen));
        cr_assert(found->host == sidecar.process.host);
        cr_assert(found->domain == sidecar.process.failure_domain);
    }
}

ParameterizedTestParameters(examples, every_host_and_address_is_of_one_upstream)
{
    return cr_make_param_array(deployment, deployments, std::size(deployments));
}

ParameterizedTest(deployment* one, examples, every_host_and_address_is_of_one_upstream)
{
    const auto all = bundle_of(*one);
    std::set<std::string> addresses;
    std::set<host_id> hosts;
    for (const auto& each : all.upstreams) {
        cr_assert(addresses.insert(each.sidecar_address).second, "%s", each.id.text().c_str());
        cr_assert(hosts.insert(each.host).second, "%s", each.id.text().c_str());
    }
}

} // namespace dragonflymill::app
