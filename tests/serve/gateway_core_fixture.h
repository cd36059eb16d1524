#pragma once

#include "dragonflymill/serve/gateway_core.h"
#include "support/fault_cell.h"

#include <utility>

namespace dragonflymill::fixture {

/// Start time of the tests.
inline constexpr instant start{1'000s};
/// Number of engines in the small bundle.
inline constexpr std::uint64_t engine_count = 3;

/// Returns a bundle with three engines and three booking services, one of each in each of three failure
/// domains, and one account.
inline auto small_bundle() -> bundle
{
    bundle made;
    made.version = bundle_version(1);
    made.models.push_back({model_id("m"), {}, 100'000});
    for (std::uint64_t i = 1; i <= engine_count; ++i) {
        const auto number = std::to_string(i);
        made.domains.push_back({failure_domain_id("d" + number), region_id("r"), true});
        upstream_entry engine;
        engine.id = upstream_id("e" + number);
        engine.domain = failure_domain_id("d" + number);
        engine.models = {model_id("m")};
        engine.memory_tokens = 100'000;
        made.upstreams.push_back(engine);
        upstream_entry service;
        service.id = upstream_id("s" + number);
        service.kind = upstream_kind::service;
        service.domain = failure_domain_id("d" + number);
        made.upstreams.push_back(service);
    }
    account_entry account;
    account.id = client_account_id("a");
    account.requests_per_second = 1'000;
    account.tokens_per_second = 1'000'000;
    account.max_in_flight = 30;
    made.accounts.push_back(account);
    service_route_entry booking;
    booking.id = route_id("booking");
    booking.upstreams = {upstream_id("s1"), upstream_id("s2"), upstream_id("s3")};
    made.service_routes.push_back(booking);
    return made;
}

/// Returns the options of the gateway under test.
inline auto options() -> gateway_core_options
{
    gateway_core_options made;
    made.self = process_id("g1");
    made.failure_domain = failure_domain_id("d1");
    made.region = region_id("r");
    made.ticket_key = "a key of the tests";
    return made;
}

/// Returns a completion request of account `a`.
inline auto asked(std::uint64_t number) -> gateway_input::completion_arrived
{
    gateway_input::completion_arrived made;
    made.exchange = exchange_number(number);
    made.request = request_id("r" + std::to_string(number));
    made.account = client_account_id("a");
    made.model = model_id("m");
    made.prompt_tokens = 1'000;
    made.max_tokens = 16;
    made.time_limit = 10s;
    return made;
}

/// Returns a booking call of account `a`.
inline auto booking(std::uint64_t number, std::string key) -> gateway_input::service_arrived
{
    gateway_input::service_arrived made;
    made.exchange = exchange_number(number);
    made.spec.request = request_id("b" + std::to_string(number));
    made.spec.route = route_id("booking");
    made.spec.account = client_account_id("a");
    made.spec.idempotency_key = std::move(key);
    made.spec.method = "POST";
    made.spec.remaining = 10s;
    return made;
}

/// Returns the first action of a type; null if there is none.
template <typename Action>
auto find(const std::vector<gateway_action>& actions) -> const Action*
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/// Passes in an event and ignores its actions.
inline void feed(gateway_core& core, instant now, const gateway_event& event)
{
    static_cast<void>(core.step(now, event));
}

/// Makes the gateway ready with a bundle.
inline void adopt(gateway_core& core, bundle in_force)
{
    feed(core, start, gateway_input::gateways_changed{{process_id("g1")}, 1});
    feed(core, start, gateway_input::bundle_adopted{std::make_shared<const bundle>(std::move(in_force))});
}

/// Passes in a completion request and returns the attempt that was opened for it.
inline auto open(gateway_core& core, std::uint64_t number) -> gateway_output::open_attempt
{
    const auto actions = core.step(start, asked(number));
    const auto* opened = find<gateway_output::open_attempt>(actions);
    cr_assert(opened != nullptr);
    return *opened;
}

/// Returns the event for an attempt whose connection broke after its prompt was sent.
inline auto lost(const attempt_key& key) -> gateway_input::attempt_broken
{
    return {key, true};
}

} // namespace dragonflymill::fixture
