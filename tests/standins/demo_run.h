#pragma once

#include "standins/booking_caller.h"
#include "standins/completion_caller.h"
#include "standins/demo_report.h"

#include <boost/asio/io_context.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace dragonflymill::standins {

/// Settings of a demo run: addresses, operator actions and load.
struct demo_settings
{
    std::vector<std::string> gateways;        ///< Gateway addresses; the last one is stopped.
    pid_t stop_pid = 0;                       ///< Process id of the last gateway; 0 doesn't stop it.
    std::vector<std::string> account_keys;    ///< Bearer tokens of the client accounts.
    std::vector<std::string> engines;         ///< Addresses of all stand-in engines.
    std::vector<std::string> drained_engines; ///< Engines in the drained failure domain.
    std::vector<std::string> services;        ///< Addresses of all stand-in services.
    std::string model = "m";                  ///< Requested model.
    std::string out_command;       ///< Shell command that drains the failure domain; empty skips it.
    std::string back_command;      ///< Shell command that brings it back.
    duration grace = 3s;           ///< Time after draining in which new work may still reach the domain.
    duration balancer_lag = 500ms; ///< Time in which a stopping gateway still receives new requests.
    duration ready_limit = 20s;    ///< Timeout for all gateways to become ready.
    duration settle = 10s;         ///< Timeout for the engines to release all memory.
    load_size load;                ///< Size of the load.
};

/// Runs the demo: sends the planned load, performs the operator actions and collects the results.
class demo_run
{
public:
    /// Prepares all prompts and expected answers.
    explicit demo_run(demo_settings settings);
    demo_run(const demo_run&) = delete;
    auto operator=(const demo_run&) -> demo_run& = delete;
    ~demo_run();

    /// Runs the demo to its end. Blocks for the duration of the load, and until the engines have released
    /// their memory or `settle` is over.
    [[nodiscard]] auto run() -> demo_results;

private:
    [[nodiscard]] auto wait_until_ready() const -> bool;
    void begin_warm_up();
    void warm_up_next();
    void send_alone(std::size_t number);
    void begin_mix();
    void send(const std::shared_ptr<const prepared_completion>& prepared);
    void book(const planned_booking& plan);
    void at(duration after, std::function<void()> action);
    void plan_actions();
    void command(const std::string& line, std::function<void()> done);
    void stop_gateway();
    void count_drained(int sign);
    [[nodiscard]] auto tally(const gateway_error& problem) -> refusal_tally&;
    [[nodiscard]] auto next_gateway() -> std::string;
    void collect_executions();
    void collect_memory();

    demo_settings settings_;
    boost::asio::io_context io_;
    caller_surroundings around_;
    caller_surroundings around_warm_up_;
    std::vector<std::shared_ptr<const prepared_completion>> warm_up_;
    std::vector<std::shared_ptr<const prepared_completion>> alone_;
    std::vector<std::shared_ptr<const prepared_completion>> mix_;
    std::vector<planned_booking> bookings_;
    std::vector<std::string> rotation_;
    std::size_t turn_ = 0;
    std::size_t account_turn_ = 0;
    std::size_t warm_up_turn_ = 0;
    int warm_up_open_ = 0;
    std::chrono::steady_clock::time_point warm_up_end_{};
    demo_phase phase_ = demo_phase::mix;
    demo_results results_;
    std::vector<std::thread> commands_;
};

} // namespace dragonflymill::standins
