#pragma once

#include "process/background_call.h"
#include "process/fleet_files.h"
#include "process/stream_answer.h"
#include "process/waiting.h"
#include "standins/http_client.h"
#include "support/child_process.h"
#include "support/tcp_relay.h"

#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Two engines, a booking service, a sidecar beside each, and two gateways, as real processes on loopback.
class process_fleet
{
public:
    /// Starts all and waits until both gateways answer. The test's process ends by SIGALRM if it is not
    /// finished in time, whatever it is doing then, and its children end with it.
    explicit process_fleet(const fleet_options& options = {});
    process_fleet(const process_fleet&) = delete;
    auto operator=(const process_fleet&) -> process_fleet& = delete;
    ~process_fleet();

    /// HTTP address of a gateway.
    [[nodiscard]] auto gateway(const std::string& name) const -> std::string;
    /// A process by its name; stand-ins are called after what they stand for.
    [[nodiscard]] auto process(const std::string& name) -> test_support::child_process&;
    /// Kills a process and waits until it is gone.
    void kill(const std::string& name);
    /// Starts a sidecar, again if it was ended.
    void start_sidecar(const std::string& name);
    /// Starts the sidecar again if it ended itself, as a service unit would, and waits until it answers.
    void revive_sidecar(const std::string& name);
    /// Starts a gateway, again if it was ended.
    void start_gateway(const std::string& name);

    /// A call with the account's key.
    [[nodiscard]] auto call(const std::string& gateway_name, const std::string& target,
                            std::string body) const -> standins::http_call;
    /// A streamed completion of a prompt of `tokens`.
    [[nodiscard]] auto completion(const std::string& gateway_name, token_count tokens, token_count max_tokens,
                                  std::uint64_t seed = 1) const -> standins::http_call;
    /// A booking with a key of the caller.
    [[nodiscard]] auto booking(const std::string& gateway_name, const std::string& key) const
        -> standins::http_call;
    /// A key that no sidecar can have seen before, once keys run. Its time lies ahead of the clock by less
    /// than the clocks' allowed error, so that keys run sooner after a start.
    [[nodiscard]] static auto new_key(std::uint64_t number) -> std::string;
    /// Waits until the sidecar of the booking service can tell a first try from a retry: for some time after
    /// its start every key may have been seen by a predecessor.
    void wait_until_keys_run() const;
    /// The engine that holds a stream now, empty if none does.
    [[nodiscard]] auto busy_engine() const -> std::string;
    /// How many things an engine holds; -1 if it doesn't answer.
    [[nodiscard]] auto held(const std::string& engine) const -> std::int64_t;
    /// Whether both engines come to hold nothing.
    [[nodiscard]] auto nothing_is_held() const -> bool;
    /// How often an engine fell over for too much load while it was cold; -1 if it doesn't answer.
    [[nodiscard]] auto falls(const std::string& engine) const -> std::int64_t;
    /// A list of names in an engine's state; empty if it doesn't answer.
    [[nodiscard]] auto names(const std::string& engine, const std::string& list) const
        -> std::vector<std::string>;
    /// Loads that an engine was ordered; -1 if it doesn't answer.
    [[nodiscard]] auto loads_ordered(const std::string& engine) const -> std::int64_t;
    /// How often a booking was executed.
    [[nodiscard]] auto executions(const std::string& key) const -> std::int64_t;
    /// How many calls a service has taken and not executed yet.
    [[nodiscard]] auto waiting(const std::string& service) const -> std::int64_t;
    /// Whether every process says that it is ready by the bundle of `version`.
    [[nodiscard]] auto all_run_by(std::int64_t version) const -> bool;
    /// The bundle by which a process says that it is ready; 0 if it is not, or doesn't answer.
    [[nodiscard]] auto bundle_of(const std::string& name) const -> std::int64_t;
    /// Switches a fault of a stand-in on.
    void fault(const std::string& upstream, const std::string& body) const;
    /// GET without a key.
    [[nodiscard]] static auto get(const std::string& address, const std::string& target)
        -> standins::http_answer;
    /// The way to an engine's sidecar, if the fleet has relays.
    [[nodiscard]] auto way_to(const std::string& engine) -> test_support::tcp_relay&;
    /// Keys, settings and bundles.
    [[nodiscard]] auto files() -> fleet_files& { return files_; }

private:
    void start(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments);
    void start_standins(const fleet_options& options);
    void start_config_service(const std::string& bundle);
    void warm_up() const;

    fleet_files files_;
    std::map<std::string, std::string> upstreams_;
    std::map<std::string, std::unique_ptr<test_support::tcp_relay>> relays_;
    std::map<std::string, std::unique_ptr<test_support::child_process>> children_;
};

} // namespace dragonflymill::test
