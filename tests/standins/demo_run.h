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

/// Where everything is and what the operators do.
struct demo_settings
{
    std::vector<std::string> gateways;        ///< Addresses; the last one is stopped.
    pid_t stop_pid = 0;                       ///< Process of the last gateway; 0 leaves it alone.
    std::vector<std::string> account_keys;    ///< Bearer tokens.
    std::vector<std::string> engines;         ///< Addresses of all stand-in engines.
    std::vector<std::string> drained_engines; ///< Those in the domain taken out.
    std::vector<std::string> services;        ///< Addresses of all stand-in services.
    std::string model = "m";                  ///< Model asked for.
    std::string out_command;                  ///< Takes the failure domain out; empty leaves it in.
    std::string back_command;                 ///< Brings it back.
    duration grace = 3s;                      ///< Time in which new work may still reach a domain taken out.
    duration balancer_lag = 500ms;            ///< Time in which a stopping gateway still gets requests.
    duration ready_limit = 20s;               ///< Time for gateways to become ready.
    duration settle = 10s;                    ///< Time for engines to let go of everything.
    load_size load;                           ///< How much.
};

/// The demo: sends the plan, does the operators' actions, collects what happened.
class demo_run
{
public:
    /// Prepares every prompt and answer.
    explicit demo_run(demo_settings settings);
    demo_run(const demo_run&) = delete;
    auto operator=(const demo_run&) -> demo_run& = delete;
    ~demo_run();

    /// Runs it all; takes the length of the load and what it needs to settle.
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
