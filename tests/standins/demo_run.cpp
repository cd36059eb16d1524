#include "standins/demo_run.h"

#include "standins/json_fields.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

// Times of the operator actions, in percent of the duration of the mix.
constexpr int drain_at_percent = 30;
constexpr int restore_at_percent = 55;
constexpr int stop_at_percent = 75;
// A warm-up caller gives up a refused prompt after this time and sends the next one.
constexpr auto warm_up_retry_limit = std::chrono::milliseconds(500);
constexpr auto poll_interval = std::chrono::milliseconds(200);

auto ledger_of(const std::string& address) -> std::optional<json::object>
{
    const auto answer = call_and_wait({address, "GET", "/_ledger"});
    return answer.status == 200 ? parse_object(answer.body) : std::nullopt;
}

auto count_runs(const json::object& ledger) -> std::int64_t
{
    const auto* runs = ledger.if_contains("runs");
    return runs != nullptr && runs->is_array() ? static_cast<std::int64_t>(runs->get_array().size()) : 0;
}

void print_progress(const char* text)
{
    std::printf("%s\n", text);
    std::fflush(stdout);
}

} // namespace

demo_run::demo_run(demo_settings settings)
    : settings_(std::move(settings))
    , around_{io_, [this] { return next_gateway(); },
              [this](const gateway_error& problem) { ++tally(problem).later; }}
    , around_warm_up_(around_)
    , rotation_(settings_.gateways)
{
    around_warm_up_.patience = warm_up_retry_limit;
    around_warm_up_.refused = [this](const gateway_error& problem) { ++tally(problem).in_warm_up; };
    const auto plan = make_plan(settings_.load);
    const auto prepare_all = [this](const auto& planned, auto& out) {
        for (const auto& item : planned) {
            const auto& key = settings_.account_keys[account_turn_++ % settings_.account_keys.size()];
            out.push_back(std::make_shared<prepared_completion>(prepare(item, settings_.model, key)));
        }
    };
    prepare_all(plan.warm_up, warm_up_);
    prepare_all(plan.alone, alone_);
    prepare_all(plan.completions, mix_);
    bookings_ = plan.bookings;
}

demo_run::~demo_run()
{
    for (auto& thread : commands_) {
        thread.join();
    }
}

auto demo_run::run() -> demo_results
{
    if (!wait_until_ready()) {
        print_progress("a gateway did not become ready");
        results_.actions_done = false;
        return results_;
    }
    const auto begin = std::chrono::steady_clock::now();
    begin_warm_up();
    io_.run();
    for (auto& thread : commands_) {
        thread.join();
    }
    commands_.clear();
    collect_executions();
    collect_memory();
    results_.length = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin);
    return results_;
}

auto demo_run::wait_until_ready() const -> bool
{
    const auto end = std::chrono::steady_clock::now() + settings_.ready_limit;
    for (const auto& gateway : settings_.gateways) {
        while (call_and_wait({gateway, "GET", "/readyz"}).status != 200) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return true;
}

void demo_run::begin_warm_up()
{
    if (warm_up_.empty()) {
        send_alone(0);
        return;
    }
    print_progress("warm-up");
    warm_up_end_ = std::chrono::steady_clock::now() + settings_.load.warm_up;
    warm_up_open_ = settings_.load.warm_up_callers;
    for (int caller = 0; caller < settings_.load.warm_up_callers; ++caller) {
        warm_up_next();
    }
}

void demo_run::warm_up_next()
{
    if (std::chrono::steady_clock::now() >= warm_up_end_) {
        if (--warm_up_open_ == 0) {
            send_alone(0);
        }
        return;
    }
    const auto& prepared = warm_up_[warm_up_turn_++ % warm_up_.size()];
    std::make_shared<completion_caller>(around_warm_up_, prepared, demo_phase::warm_up,
                                        [this](const completion_result& result) {
                                            results_.completions.push_back(result);
                                            warm_up_next();
                                        })
        ->start();
}

void demo_run::send_alone(std::size_t number)
{
    if (number == 0) {
        print_progress("short requests alone");
    }
    if (number == alone_.size()) {
        begin_mix();
        return;
    }
    const auto caller = std::make_shared<completion_caller>(around_, alone_[number], demo_phase::alone,
                                                            [this, number](const completion_result& result) {
                                                                results_.completions.push_back(result);
                                                                send_alone(number + 1);
                                                            });
    caller->start();
}

void demo_run::begin_mix()
{
    print_progress("all lengths together");
    phase_ = demo_phase::mix;
    for (const auto& prepared : mix_) {
        at(prepared->plan.at, [this, prepared] { send(prepared); });
    }
    for (const auto& plan : bookings_) {
        at(plan.at, [this, plan] { book(plan); });
    }
    plan_actions();
}

void demo_run::send(const std::shared_ptr<const prepared_completion>& prepared)
{
    std::make_shared<completion_caller>(around_, prepared, phase_, [this](const completion_result& result) {
        results_.completions.push_back(result);
    })->start();
}

void demo_run::book(const planned_booking& plan)
{
    const auto& key = settings_.account_keys[account_turn_++ % settings_.account_keys.size()];
    std::make_shared<booking_caller>(around_, plan, key, phase_, [this](const booking_result& result) {
        results_.bookings.push_back(result);
    })->start();
}

void demo_run::at(duration after, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, after);
    timer->async_wait([timer, action = std::move(action)](const auto&) { action(); });
}

void demo_run::plan_actions()
{
    const auto out = settings_.load.length * drain_at_percent / 100;
    const auto back = settings_.load.length * restore_at_percent / 100;
    if (!settings_.out_command.empty()) {
        results_.work_at_drained = 0;
        at(out, [this] {
            print_progress("failure domain is taken out");
            command(settings_.out_command, [this] {
                phase_ = demo_phase::domain_out;
                at(settings_.grace, [this] { count_drained(-1); });
            });
        });
        at(back, [this] {
            print_progress("failure domain is brought back");
            count_drained(1);
            command(settings_.back_command, [this] { phase_ = demo_phase::domain_back; });
        });
    }
    if (settings_.stop_pid > 0) {
        at(settings_.load.length * stop_at_percent / 100, [this] { stop_gateway(); });
    }
}

// Runs the command on its own thread, since it may take long and the load must continue.
void demo_run::command(const std::string& line, std::function<void()> done)
{
    commands_.emplace_back([this, line, done = std::move(done), guard = boost::asio::make_work_guard(io_)] {
        const bool succeeded =
            std::system(line.c_str()) == 0; // NOLINT(concurrency-mt-unsafe): nothing changes the environment
        boost::asio::post(io_, [this, succeeded, done] {
            if (!succeeded) {
                print_progress("the operators' command failed");
                results_.actions_done = false;
            }
            done();
        });
    });
}

void demo_run::stop_gateway()
{
    print_progress("a gateway is told to stop");
    phase_ = demo_phase::stopping;
    results_.actions_done = kill(settings_.stop_pid, SIGTERM) == 0 && results_.actions_done;
    at(settings_.balancer_lag, [this] { rotation_.pop_back(); });
}

/// Adds (`sign` 1) or subtracts (`sign` -1) the streams in the drained engines' ledgers. Subtracting after
/// the grace time and adding just before the domain returns yields the streams started in between.
void demo_run::count_drained(int sign)
{
    for (const auto& engine : settings_.drained_engines) {
        const auto call = std::make_shared<http_call>(http_call{engine, "GET", "/_ledger"});
        start_call(io_, call, nullptr, [this, sign](const http_answer& answer) {
            const auto ledger = parse_object(answer.body);
            *results_.work_at_drained += ledger ? sign * count_runs(*ledger) : 0;
            results_.actions_done = results_.actions_done && ledger.has_value();
        });
    }
}

auto demo_run::tally(const gateway_error& problem) -> refusal_tally&
{
    auto& out = results_.refusals[problem.code];
    out.longest_retry_after = std::max(out.longest_retry_after, problem.retry_after);
    return out;
}

auto demo_run::next_gateway() -> std::string
{
    return rotation_[turn_++ % rotation_.size()];
}

void demo_run::collect_executions()
{
    for (const auto& service : settings_.services) {
        const auto ledger = ledger_of(service);
        const auto* counts = ledger ? ledger->if_contains("executions") : nullptr;
        if (counts == nullptr || !counts->is_object()) {
            results_.actions_done = false;
            continue;
        }
        for (auto& booking : results_.bookings) {
            booking.executions += number_field(counts->get_object(), booking.key);
        }
    }
}

void demo_run::collect_memory()
{
    const auto end = std::chrono::steady_clock::now() + settings_.settle;
    for (const auto& address : settings_.engines) {
        engine_leftover left{address};
        while (left.memory_used != 0) {
            if (const auto ledger = ledger_of(address)) {
                left.memory_used = number_field(*ledger, "memory_used", -1);
                left.falls = number_field(*ledger, "falls");
            }
            if (std::chrono::steady_clock::now() >= end) {
                break;
            }
            if (left.memory_used != 0) {
                std::this_thread::sleep_for(poll_interval);
            }
        }
        results_.engines.push_back(left);
    }
}

} // namespace dragonflymill::standins
