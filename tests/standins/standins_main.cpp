#include "standins/engine_standin.h"
#include "standins/service_standin.h"

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

/// The stand-ins of this process.
struct running_standins
{
    std::vector<std::unique_ptr<standins::engine_standin>> engines;
    std::vector<std::unique_ptr<standins::service_standin>> services;
};

auto describe() -> options::options_description
{
    options::options_description out("standins engine|engines|service|services [options]");
    auto add = out.add_options();
    add("help", "show this");
    add("kind", options::value<std::string>()->default_value(""), "what to stand in for");
    add("port", options::value<std::uint16_t>()->default_value(0), "port, 0 for a free one");
    add("count", options::value<int>()->default_value(1), "how many, one line of output for each");
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
    add("latency-ms", options::value<int>()->default_value(5), "time of a plain service's call");
    return out;
}

auto numbered(const options::variables_map& given, const char* word, int number) -> std::string
{
    const auto name = given["name"].as<std::string>();
    const auto base = name.empty() ? std::string(word) : name;
    return given["count"].as<int>() == 1 ? base : base + std::to_string(number + 1);
}

auto port_of(const options::variables_map& given, int number) -> std::uint16_t
{
    const auto port = given["port"].as<std::uint16_t>();
    return port == 0 ? 0 : static_cast<std::uint16_t>(port + number);
}

void start_engine(const options::variables_map& given, int number, running_standins& running)
{
    standins::engine_standin_settings settings;
    settings.name = numbered(given, "e", number);
    settings.port = port_of(given, number);
    settings.time_scale = given["time-scale"].as<double>();
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
    std::printf("listening 127.0.0.1:%u %s\n", running.engines.back()->port(), settings.name.c_str());
}

void start_service(const options::variables_map& given, int number, running_standins& running)
{
    standins::service_standin_settings settings;
    settings.name = numbered(given, "s", number);
    settings.port = port_of(given, number);
    settings.latency = std::chrono::milliseconds(given["latency-ms"].as<int>());
    running.services.push_back(std::make_unique<standins::service_standin>(settings));
    std::printf("listening 127.0.0.1:%u %s\n", running.services.back()->port(), settings.name.c_str());
}

auto start_all(const options::variables_map& given, running_standins& running) -> bool
{
    const auto kind = given["kind"].as<std::string>();
    for (int number = 0; number < given["count"].as<int>(); ++number) {
        if (kind == "engine" || kind == "engines") {
            start_engine(given, number, running);
        }
        else if (kind == "service" || kind == "services") {
            start_service(given, number, running);
        }
        else {
            return false;
        }
    }
    std::fflush(stdout);
    return true;
}

auto run(int argc, char** argv) -> int
{
    // Blocked before the first thread starts, so that every thread inherits it and only sigwait takes them.
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);

    const auto description = describe();
    options::positional_options_description positional;
    positional.add("kind", 1);
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
    sigwait(&ends, &received);
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
