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

/// Two engines and a booking service with a sidecar each, and two gateways, as real processes on loopback.
class process_fleet
{
public:
    /// Starts all processes and waits until both gateways answer. SIGALRM ends the test's process, and with
    /// it its children, if the test exceeds its time limit.
    explicit process_fleet(const fleet_options& options = {});
    process_fleet(const process_fleet&) = delete;
    auto operator=(const process_fleet&) -> process_fleet& = delete;
    ~process_fleet();

    /// HTTP address of a gateway.
    [[nodiscard]] auto gateway(const std::string& name) const -> std::string;
    /// A process by its name; a stand-in has the name of its upstream, or `config`.
    [[nodiscard]] auto process(const std::string& name) -> test_support::child_process&;
    /// Sends SIGKILL to a process and waits for its exit.
    void kill(const std::string& name);
    /// Starts or restarts a sidecar.
    void start_sidecar(const std::string& name);
    /// Restarts the sidecar if it has exited, as a service manager would, and waits until it answers.
    void revive_sidecar(const std::string& name);
    /// Restarts the sidecar of `name` beside an upstream of the test at `address`.
    void use_upstream(const std::string& name, const std::string& address);
    /// Starts or restarts a gateway.
    void start_gateway(const std::string& name);

    /// A POST with the account's API key.
    [[nodiscard]] auto call(const std::string& gateway_name, const std::string& target,
                            std::string body) const -> standins::http_call;
    /// A streamed completion of a prompt of `tokens` tokens.
    [[nodiscard]] auto completion(const std::string& gateway_name, token_count tokens, token_count max_tokens,
                                  std::uint64_t seed = 1) const -> standins::http_call;
    /// A booking with the idempotency key `key`.
    [[nodiscard]] auto booking(const std::string& gateway_name, const std::string& key) const
        -> standins::http_call;
    /// An idempotency key that no earlier sidecar process can have seen, once `wait_until_keys_run` has
    /// returned. Its time stamp lies ahead of the clock, by less than the permitted clock skew, which
    /// shortens the wait after a start.
    [[nodiscard]] static auto new_key(std::uint64_t number) -> std::string;
    /// Waits until the sidecar of the booking service can distinguish a first attempt from a retry: for some
    /// time after its start its predecessor may have seen any key.
    void wait_until_keys_run() const;
    /// The first engine with a call in flight; empty if there is none.
    [[nodiscard]] auto busy_engine() const -> std::string;
    /// Number of calls that an engine holds; -1 if it does not answer.
    [[nodiscard]] auto held(const std::string& engine) const -> std::int64_t;
    /// Waits until neither engine holds a call; false on timeout.
    [[nodiscard]] auto nothing_is_held() const -> bool;
    /// Number of crashes of an engine by overload while it was cold; -1 if it does not answer.
    [[nodiscard]] auto falls(const std::string& engine) const -> std::int64_t;
    /// The field `list` of an engine's state, a list of names; empty if the engine does not answer.
    [[nodiscard]] auto names(const std::string& engine, const std::string& list) const
        -> std::vector<std::string>;
    /// Number of `load_model` orders that an engine has received; -1 if it does not answer.
    [[nodiscard]] auto loads_ordered(const std::string& engine) const -> std::int64_t;
    /// Number of executions of a booking; -1 if the service does not answer.
    [[nodiscard]] auto executions(const std::string& key) const -> std::int64_t;
    /// Number of calls that a service has accepted and not executed yet; -1 if it does not answer.
    [[nodiscard]] auto waiting(const std::string& service) const -> std::int64_t;
    /// Whether every process reports that it is ready with the bundle of `version` in force.
    [[nodiscard]] auto all_run_by(std::int64_t version) const -> bool;
    /// Version of the bundle in force at a ready process; 0 if it is not ready or does not answer.
    [[nodiscard]] auto bundle_of(const std::string& name) const -> std::int64_t;
    /// Sets or clears faults of a stand-in; `body` is the JSON of `/_fault`.
    void fault(const std::string& upstream, const std::string& body) const;
    /// Sends a GET without an API key.
    [[nodiscard]] static auto get(const std::string& address, const std::string& target)
        -> standins::http_answer;
    /// The relay to an engine's sidecar; only in a fleet with relays.
    [[nodiscard]] auto way_to(const std::string& engine) -> test_support::tcp_relay&;
    /// The fleet's files.
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
