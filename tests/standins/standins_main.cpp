#include "standins/config_standin.h"
#include "standins/engine_standin.h"
#include "standins/host_list_standin.h"
#include "standins/service_standin.h"
#include "standins/weight_store_standin.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace dragonflymill;
namespace options = boost::program_options;

constexpr int usage_error = 2;

/// All stand-ins of this process. Destroying it stops them.
struct running_standins
{
    std::vector<std::unique_ptr<standins::engine_standin>> engines;
    std::vector<std::unique_ptr<standins::service_standin>> services;
    std::vector<std::unique_ptr<standins::config_standin>> configs;
    std::vector<std::unique_ptr<standins::host_list_standin>> host_lists;
    std::vector<std::unique_ptr<standins::weight_store_standin>> weight_stores;
};

auto describe() -> options::options_description
{
    options::options_description out(
        "standins KIND... [options]\n"
        "KIND: engine service config hosts weights, or engines=12, services=3...\n"
        "Prints `listening ADDRESS NAME` for each; runs until SIGTERM");
    auto add = out.add_options();
    add("help", "show this");
    add("kind", options::value<std::vector<std::string>>()->composing(),
        "what to stand in for, with =N for many");
    add("port", options::value<std::uint16_t>()->default_value(0), "port, 0 for a free one");
    add("count", options::value<int>()->default_value(1),
        "how many of each kind that has no number of its own");
    add("name", options::value<std::string>()->default_value(""),
        "name in the ledger; with a number if many");
    add("time-scale", options::value<double>()->default_value(1.0), "real time = engine's time * this");
    add("model", options::value<std::vector<std::string>>()->composing(),
        "model loaded at the start, repeatable");
    add("memory", options::value<token_count>()->default_value(450'000), "KV memory of an engine, tokens");
    add("cache", options::value<token_count>()->default_value(100'000), "prefix cache of an engine, tokens");
    add("prefill-speed", options::value<double>()->default_value(25'000), "tokens a second");
    add("warm", options::bool_switch(), "the first start of an engine isn't cold");
    add("ignore-fence", options::bool_switch(), "carry out orders with old fencing numbers");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the lost cache events");
    add("weight-store", options::value<std::string>()->default_value(""), "address engines load models from");
    add("config-budget", options::value<std::int64_t>()->default_value(2'000),
        "reads a second of the configuration");
    add("host-lag-ms", options::value<int>()->default_value(1'000), "how late the host list shows a change");
    add("loads-at-once", options::value<std::int64_t>()->default_value(2),
        "loads that the weight store carries");
    add("latency-ms", options::value<int>()->default_value(5), "time of a plain service's call");
    return out;
}

auto port_of(const options::variables_map& given, int number) -> std::uint16_t
{
    const auto port = given["port"].as<std::uint16_t>();
    return port == 0 ? 0 : static_cast<std::uint16_t>(port + number);
}

/// One KIND argument of the command line.
struct start_request
{
    std::string kind;
    int count = 1;
};

auto parse_kind(const std::string& word, int count) -> start_request
{
    const auto equals = word.find('=');
    start_request out{word.substr(0, equals), count};
    if (equals != std::string::npos) {
        out.count = std::atoi(word.c_str() + equals + 1);
    }
    if (out.kind == "engines" || out.kind == "services") {
        out.kind.pop_back();
    }
    return out;
}

void print_listening(std::uint16_t port, const std::string& name)
{
    std::printf("listening 127.0.0.1:%u %s\n", port, name.c_str());
}

void start_engine(const options::variables_map& given, const std::string& name, int number,
                  running_standins& running)
{
    standins::engine_standin_settings settings;
    settings.name = name;
    settings.port = port_of(given, number);
    settings.time_scale = given["time-scale"].as<double>();
    settings.weight_store = given["weight-store"].as<std::string>();
    if (given.count("model") != 0) {
        settings.engine.models = given["model"].as<std::vector<std::string>>();
    }
    settings.engine.memory_total = given["memory"].as<token_count>();
    settings.engine.cache_total = given["cache"].as<token_count>();
    settings.engine.prefill_speed = given["prefill-speed"].as<double>();
    settings.engine.starts_cold = !given["warm"].as<bool>();
    settings.engine.honours_fence = !given["ignore-fence"].as<bool>();
    settings.engine.seed = given["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(number);
    running.engines.push_back(std::make_unique<standins::engine_standin>(settings));
    print_listening(running.engines.back()->port(), name);
}

void start_service(const options::variables_map& given, const std::string& name, int number,
                   running_standins& running)
{
    standins::service_standin_settings settings;
    settings.name = name;
    settings.port = port_of(given, number);
    settings.latency = std::chrono::milliseconds(given["latency-ms"].as<int>());
    running.services.push_back(std::make_unique<standins::service_standin>(settings));
    print_listening(running.services.back()->port(), name);
}

auto start_platform_standin(const options::variables_map& given, const std::string& kind,
                            running_standins& running) -> bool
{
    const auto port = port_of(given, 0);
    if (kind == "config") {
        running.configs.push_back(std::make_unique<standins::config_standin>(
            standins::config_standin_settings{port, given["config-budget"].as<std::int64_t>()}));
        print_listening(running.configs.back()->port(), kind);
    }
    else if (kind == "hosts") {
        const auto lag = std::chrono::milliseconds(given["host-lag-ms"].as<int>());
        running.host_lists.push_back(
            std::make_unique<standins::host_list_standin>(standins::host_list_standin_settings{port, lag}));
        print_listening(running.host_lists.back()->port(), kind);
    }
    else if (kind == "weights") {
        standins::weight_store_standin_settings settings;
        settings.port = port;
        settings.loads_at_once = given["loads-at-once"].as<std::int64_t>();
        running.weight_stores.push_back(std::make_unique<standins::weight_store_standin>(settings));
        print_listening(running.weight_stores.back()->port(), kind);
    }
    else {
        return false;
    }
    return true;
}

auto start(const options::variables_map& given, const start_request& request, running_standins& running)
    -> bool
{
    if (request.kind != "engine" && request.kind != "service") {
        return start_platform_standin(given, request.kind, running);
    }
    const auto word = given["name"].as<std::string>();
    const auto base = word.empty() ? request.kind : word;
    for (int number = 0; number < request.count; ++number) {
        const auto name = request.count == 1 ? base : base + std::to_string(number + 1);
        if (request.kind == "engine") {
            start_engine(given, name, number, running);
        }
        else {
            start_service(given, name, number, running);
        }
    }
    return true;
}

auto start_all(const options::variables_map& given, running_standins& running) -> bool
{
    if (given.count("kind") == 0) {
        return false;
    }
    for (const auto& word : given["kind"].as<std::vector<std::string>>()) {
        if (!start(given, parse_kind(word, given["count"].as<int>()), running)) {
            return false;
        }
    }
    std::fflush(stdout);
    return true;
}

auto run(int argc, char** argv) -> int
{
    // Blocks the signals before the first thread starts: all threads inherit the mask, and only sigwait
    // receives them.
    sigset_t end_signals;
    sigemptyset(&end_signals);
    sigaddset(&end_signals, SIGTERM);
    sigaddset(&end_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &end_signals, nullptr);

    const auto description = describe();
    options::positional_options_description positional;
    positional.add("kind", -1);
    options::variables_map given;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(),
                   given);
    options::notify(given);
    running_standins running;
    if (given.count("help") != 0 || !start_all(given, running)) {
        std::cout << description;
        return given.count("help") != 0 ? 0 : usage_error;
    }
    int received = 0;
    sigwait(&end_signals, &received);
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& failure) {
        std::fprintf(stderr, "standins: %s (see standins --help)\n", failure.what());
        return usage_error;
    }
}
