#include "process/process_fleet.h"

#include "control/bundle_package.h"
#include "control/platform_reader.h"
#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/bundle/signed_bundle.h"
#include "standins/booking_caller.h"
#include "standins/json_fields.h"
#include "standins/load_plan.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

namespace dragonflymill::test {

namespace {

/// Limit of one test's process; a test takes seconds.
constexpr unsigned test_limit_seconds = 120;
constexpr duration call_limit = 60s;

} // namespace

process_fleet::process_fleet(const fleet_options& options)
{
    // Ends a test that hangs, even in a busy loop; the test runner would wait for it for ever. The kernel
    // kills its children together with it.
    alarm(test_limit_seconds);
    files_.add_gateway_lines(options.gateway_lines);
    start_standins(options);
    if (options.relays) {
        for (const std::string name : {"engine-1", "engine-2"}) {
            relays_[name] = std::make_unique<test_support::tcp_relay>(files_.listener(name, 0));
            files_.set_sidecar_address(name, way_to(name).address());
        }
    }
    const auto bundle = files_.sign_bundle(1);
    if (options.config_service) {
        start_config_service(bundle);
    }
    for (const std::string name : {"engine-1", "engine-2", "booking-1"}) {
        start_sidecar(name);
    }
    for (const std::string name : {"gateway-1", "gateway-2"}) {
        start_gateway(name);
    }
    for (const std::string name : {"gateway-1", "gateway-2"}) {
        cr_assert(comes_true([&] { return get(gateway(name), "/readyz").status == 200; }), "%s is not ready",
                  name.c_str());
    }
    warm_up();
}

process_fleet::~process_fleet() = default;

auto process_fleet::gateway(const std::string& name) const -> std::string
{
    return files_.listener(name, 0);
}

auto process_fleet::process(const std::string& name) -> test_support::child_process&
{
    return *children_.at(name);
}

void process_fleet::kill(const std::string& name)
{
    process(name).signal(SIGKILL);
    cr_assert(process(name).wait(generous).has_value(), "%s still runs after SIGKILL", name.c_str());
}

void process_fleet::start_sidecar(const std::string& name)
{
    const auto settings = files_.sidecar_settings(name, upstreams_.at(name));
    start("sidecar-" + name, "dragonflymill", {"sidecar", "--config", settings});
    cr_assert(process("sidecar-" + name).read_line(generous).has_value());
}

void process_fleet::use_upstream(const std::string& name, const std::string& address)
{
    kill("sidecar-" + name);
    upstreams_[name] = address;
    start_sidecar(name);
}

void process_fleet::revive_sidecar(const std::string& name)
{
    const auto admin = files_.listener(name, 1);
    cr_assert(comes_true([&] {
        if (process("sidecar-" + name).wait(duration::zero()).has_value()) {
            start_sidecar(name);
        }
        return get(admin, "/admin/status").status != 0;
    }));
}

void process_fleet::start_gateway(const std::string& name)
{
    start(name, "dragonflymill", {"gateway", "--config", files_.gateway_settings(name)});
    cr_assert(process(name).read_line(generous).has_value());
}

auto process_fleet::call(const std::string& gateway_name, const std::string& target, std::string body) const
    -> standins::http_call
{
    return {gateway(gateway_name),
            "POST",
            target,
            {{"Authorization", "Bearer key-of-doorstep"}, {"Content-Type", "application/json"}},
            std::move(body),
            call_limit};
}

auto process_fleet::completion(const std::string& gateway_name, token_count tokens, token_count max_tokens,
                               std::uint64_t seed) const -> standins::http_call
{
    const boost::json::object body{{"model", "assistant-1"},
                                   {"prompt", standins::prompt_text(tokens, seed)},
                                   {"max_tokens", max_tokens},
                                   {"stream", true}};
    return call(gateway_name, "/v1/completions", boost::json::serialize(body));
}

auto process_fleet::booking(const std::string& gateway_name, const std::string& key) const
    -> standins::http_call
{
    const boost::json::object body{{"id", key}, {"logs", 2}};
    auto out = call(gateway_name, "/v1/services/booking", boost::json::serialize(body));
    out.headers.push_back({"Idempotency-Key", key});
    return out;
}

auto process_fleet::new_key(std::uint64_t number) -> std::string
{
    constexpr auto ahead = std::chrono::milliseconds(4'500);
    return standins::booking_key(number, ahead);
}

void process_fleet::wait_until_keys_run() const
{
    std::uint64_t probe = 1'000;
    cr_assert(comes_true(
        [&] { return standins::call_and_wait(booking("gateway-1", new_key(++probe))).status == 200; }));
}

auto process_fleet::busy_engine() const -> std::string
{
    for (const auto* const name : {"engine-1", "engine-2"}) {
        if (held(name) > 0) {
            return name;
        }
    }
    return {};
}

auto process_fleet::held(const std::string& engine) const -> std::int64_t
{
    const auto ledger = standins::parse_object(get(upstreams_.at(engine), "/_ledger").body);
    return ledger && ledger->contains("held")
               ? static_cast<std::int64_t>(ledger->at("held").as_array().size())
               : -1;
}

auto process_fleet::nothing_is_held() const -> bool
{
    return comes_true([&] { return held("engine-1") == 0 && held("engine-2") == 0; });
}

auto process_fleet::falls(const std::string& engine) const -> std::int64_t
{
    const auto ledger = standins::parse_object(get(upstreams_.at(engine), "/_ledger").body);
    return ledger ? standins::number_field(*ledger, "falls", -1) : -1;
}

auto process_fleet::names(const std::string& engine, const std::string& list) const
    -> std::vector<std::string>
{
    std::vector<std::string> out;
    const auto state = standins::parse_object(get(upstreams_.at(engine), "/v1/state").body);
    if (state && state->contains(list)) {
        for (const auto& name : state->at(list).as_array()) {
            out.emplace_back(name.as_string());
        }
    }
    return out;
}

auto process_fleet::loads_ordered(const std::string& engine) const -> std::int64_t
{
    const auto ledger = standins::parse_object(get(upstreams_.at(engine), "/_ledger").body);
    if (!ledger) {
        return -1;
    }
    const auto& orders = ledger->at("orders").as_array();
    return std::count_if(orders.begin(), orders.end(),
                         [](const auto& order) { return order.at("order") == "load_model"; });
}

auto process_fleet::executions(const std::string& key) const -> std::int64_t
{
    const auto ledger = standins::parse_object(get(upstreams_.at("booking-1"), "/_ledger").body);
    return ledger ? standins::number_field(ledger->at("executions").as_object(), key) : -1;
}

auto process_fleet::waiting(const std::string& service) const -> std::int64_t
{
    const auto ledger = standins::parse_object(get(upstreams_.at(service), "/_ledger").body);
    return ledger ? standins::number_field(*ledger, "waiting") : -1;
}

auto process_fleet::all_run_by(std::int64_t version) const -> bool
{
    const std::array<std::string, 5> names{"engine-1", "engine-2", "booking-1", "gateway-1", "gateway-2"};
    return std::all_of(names.begin(), names.end(),
                       [&](const auto& name) { return bundle_of(name) == version; });
}

auto process_fleet::bundle_of(const std::string& name) const -> std::int64_t
{
    const auto status = standins::parse_object(get(files_.listener(name, 1), "/admin/status").body);
    return status && status->contains("ready") && status->at("ready").as_bool()
               ? standins::number_field(*status, "bundle")
               : 0;
}

void process_fleet::fault(const std::string& upstream, const std::string& body) const
{
    (void)standins::call_and_wait({upstreams_.at(upstream), "POST", "/_fault", {}, body, generous});
}

auto process_fleet::get(const std::string& address, const std::string& target) -> standins::http_answer
{
    return standins::call_and_wait({address, "GET", target, {}, {}, 2s});
}

auto process_fleet::way_to(const std::string& engine) -> test_support::tcp_relay&
{
    return *relays_.at(engine);
}

void process_fleet::start(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments)
{
    children_.erase(name);
    children_[name] = std::make_unique<test_support::child_process>(
        std::string(DRAGONFLYMILL_BINARY_DIR) + "/" + program, arguments);
    cr_assert(children_[name]->started(), "%s could not be started; is /usr/bin/setpriv installed?",
              program.c_str());
}

void process_fleet::start_standins(const fleet_options& options)
{
    for (const std::string name : {"engine-1", "engine-2"}) {
        const auto model = name == "engine-1" ? options.first_model : "assistant-1";
        start(name, "standins",
              {"engine", "--name", name, "--model", model, "--warm", "--time-scale", options.time_scale});
    }
    start("booking-1", "standins", {"service", "--name", "booking-1"});
    for (const std::string name : {"engine-1", "engine-2", "booking-1"}) {
        const auto port = process(name).read_port(generous);
        cr_assert(port != 0, "%s does not listen", name.c_str());
        upstreams_[name] = "127.0.0.1:" + std::to_string(port);
    }
}

// The service publishes only the first bundle, so it stays stale after it recovers from an outage.
void process_fleet::start_config_service(const std::string& bundle)
{
    start("config", "standins", {"config"});
    upstreams_["config"] = "127.0.0.1:" + std::to_string(process("config").read_port(generous));
    files_.set_config_service(upstreams_.at("config"));
    const auto package = load_package(bundle);
    cr_assert(package.has_value());
    const auto publish = [&](const std::string& key, const std::string& value) {
        const standins::http_call call{upstreams_.at("config"), "POST", "/_operator/" + key, {}, value};
        cr_assert(standins::call_and_wait(call).status == 200);
    };
    for (const auto& section : package.value().sections) {
        publish(control::section_key(sha256(section)), section);
    }
    publish(control::manifest_key, encode_signed_manifest(package.value().manifest));
}

// Readiness only means that a bundle is in force; the links to the sidecars may still be connecting.
void process_fleet::warm_up() const
{
    for (const std::string name : {"gateway-1", "gateway-2"}) {
        cr_assert(comes_true([&] { return standins::call_and_wait(completion(name, 100, 1)).status == 200; }),
                  "%s answers no completion", name.c_str());
    }
    cr_assert(nothing_is_held());
}

} // namespace dragonflymill::test
