#include "standins/demo_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace {

using namespace dragonflymill;
namespace options = boost::program_options;

constexpr int not_clean = 1;
constexpr int usage_error = 2;

using words = std::vector<std::string>;

auto describe() -> options::options_description
{
    options::options_description out(
        "demo: a bounded load on running gateways, and one table of what came of it.\n"
        "Exit code 0: nothing lost, doubled or leaked; 1: something was; 2: wrong use");
    auto add = out.add_options();
    add("help", "show this");
    add("print-free-ports", options::value<int>(), "print that many free ports and exit");
    add("gateway", options::value<words>()->composing(),
        "IP:PORT of a gateway, repeatable; the last is stopped");
    add("stop-pid", options::value<int>()->default_value(0), "process id of the last gateway, gets SIGTERM");
    add("account", options::value<words>()->composing(), "bearer token of a client account, repeatable");
    add("engine", options::value<words>()->composing(), "IP:PORT of a stand-in engine, repeatable");
    add("drained-engine", options::value<words>()->composing(),
        "one in the failure domain taken out, repeatable");
    add("service", options::value<words>()->composing(), "IP:PORT of a stand-in service, repeatable");
    add("model", options::value<std::string>()->default_value("m"), "model asked for");
    add("out-command", options::value<std::string>()->default_value(""), "takes a failure domain out");
    add("back-command", options::value<std::string>()->default_value(""), "brings it back");
    add("requests", options::value<int>()->default_value(300), "completions in the mix");
    add("bookings", options::value<int>()->default_value(60), "bookings");
    add("warm-up-seconds", options::value<int>()->default_value(15), "length of the warm-up");
    add("seconds", options::value<int>()->default_value(24), "length of the mix");
    add("longest", options::value<token_count>()->default_value(1'000'000), "longest prompt, tokens");
    add("seed", options::value<std::uint64_t>()->default_value(1), "of everything random");
    return out;
}

auto list(const options::variables_map& given, const char* name) -> words
{
    return given.count(name) == 0 ? words() : given[name].as<words>();
}

auto settings_of(const options::variables_map& given) -> standins::demo_settings
{
    standins::demo_settings out;
    out.gateways = list(given, "gateway");
    out.stop_pid = given["stop-pid"].as<int>();
    out.account_keys = list(given, "account");
    out.engines = list(given, "engine");
    out.drained_engines = list(given, "drained-engine");
    out.services = list(given, "service");
    out.model = given["model"].as<std::string>();
    out.out_command = given["out-command"].as<std::string>();
    out.back_command = given["back-command"].as<std::string>();
    out.load.requests = given["requests"].as<int>();
    out.load.bookings = given["bookings"].as<int>();
    out.load.warm_up = std::chrono::seconds(given["warm-up-seconds"].as<int>());
    out.load.length = std::chrono::seconds(given["seconds"].as<int>());
    out.load.longest = given["longest"].as<token_count>();
    out.load.seed = given["seed"].as<std::uint64_t>();
    return out;
}

template <typename Socket>
auto is_free(boost::asio::io_context& io, const typename Socket::endpoint_type& endpoint) -> bool
{
    Socket socket(io);
    boost::system::error_code code;
    socket.open(endpoint.protocol(), code);
    socket.bind(endpoint, code);
    return !code;
}

/// Prints ports below the ephemeral range, where an outgoing connection could take a port before its listener
/// starts.
void print_free_ports(int count)
{
    using boost::asio::ip::tcp;
    using boost::asio::ip::udp;
    constexpr unsigned first = 12'000;
    constexpr unsigned last = 32'000;
    constexpr unsigned stride = 100;
    boost::asio::io_context io;
    const auto loopback = boost::asio::ip::address_v4::loopback();
    // Concurrent demos start their search at different ports.
    const auto offset = static_cast<unsigned>(getpid()) * stride % (last - first);
    for (unsigned tried = 0; tried < last - first && count > 0; ++tried) {
        const auto port = static_cast<std::uint16_t>(first + (offset + tried) % (last - first));
        if (is_free<tcp::acceptor>(io, {loopback, port}) && is_free<udp::socket>(io, {loopback, port})) {
            std::printf("%u\n", port);
            --count;
        }
    }
}

auto run(int argc, char** argv) -> int
{
    const auto description = describe();
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("print-free-ports") != 0) {
        print_free_ports(given["print-free-ports"].as<int>());
        return 0;
    }
    const auto settings = settings_of(given);
    if (given.count("help") != 0 || settings.gateways.empty() || settings.account_keys.empty()) {
        std::cout << description;
        return given.count("help") != 0 ? 0 : usage_error;
    }
    if (settings.stop_pid > 0 && settings.gateways.size() < 2) {
        std::fputs("demo: a gateway can only be stopped if there is another one\n", stderr);
        return usage_error;
    }
    standins::demo_run demo(settings);
    const auto results = demo.run();
    std::fputs(standins::report_text(results).c_str(), stdout);
    return standins::is_clean(results) ? 0 : not_clean;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& failure) {
        std::fprintf(stderr, "demo: %s (see demo --help)\n", failure.what());
        return usage_error;
    }
}
