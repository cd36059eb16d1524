#include "crowd/crowd_gateway.h"

#include "crowd/process_memory.h"
#include "http/response_parser.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace dragonflymill::crowd {

using boost::asio::ip::tcp;
using test_support::child_process;
using test_support::taken_connection;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
constexpr std::uint16_t first_port = 14'000;
constexpr auto generous = std::chrono::seconds(30);
constexpr auto poll_interval = std::chrono::milliseconds(20);
/// Descriptors by which a process at rest may differ: a watch of the store, a check of an upstream.
constexpr std::size_t descriptor_slack = 16;

/// A free port of `ip`, outside the range of ephemeral ports.
auto free_port(boost::asio::io_context& loop, const boost::asio::ip::address& ip, std::uint16_t begin)
    -> std::uint16_t
{
    for (std::uint16_t port = begin;; ++port) {
        boost::system::error_code failed;
        tcp::acceptor probe(loop, tcp::v4());
        probe.bind({ip, port}, failed);
        if (!failed) {
            return port;
        }
    }
}

/// An address of the loopback network of this process alone, as the port for metrics is fixed.
auto own_address() -> boost::asio::ip::address
{
    constexpr int hosts = 250;
    return boost::asio::ip::make_address("127." + std::to_string(1 + getpid() / hosts % hosts) + "." +
                                         std::to_string(1 + getpid() % hosts) + ".1");
}

auto upstream_record(const std::string& service, const std::string& address, int slots) -> std::string
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"a","state":"ready","version":"v1","slots":)" + std::to_string(slots) +
           R"(,"coldLeftMs":0,"sequence":0,"born":1})";
}

auto field_of(const std::string& request, const std::string& name) -> std::string
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

crowd_gateway::crowd_gateway(const gateway_bounds& bounds)
    : bounds_(bounds)
    , ip_(own_address())
    , caller_port_(free_port(loop_, ip_, first_port))
    , ready_port_(free_port(loop_, ip_, static_cast<std::uint16_t>(caller_port_ + 1)))
    , peer_port_(free_port(loop_, ip_, static_cast<std::uint16_t>(ready_port_ + 1)))
    , store_(loop_)
    , upstream_(loop_, [this](taken_connection& call) { answer(call); })
    , settings_file_(
          (std::filesystem::temp_directory_path() / ("crowd-" + ip_.to_string() + ".conf")).string())
{
    store_.put("op/config",
               R"({"version":2,"routes":[{"name":"book","host":"h.example","pathPrefix":"/book/",)"
               R"("kind":"non_idempotent","service":"bookings","timeoutMs":120000,"latencyGoalMs":8000,)"
               R"("maxAttempts":2},{"name":"custom","host":"h.example","pathPrefix":"/custom/",)"
               R"("kind":"non_idempotent","service":"custom","timeoutMs":120000,"latencyGoalMs":8000,)"
               R"("maxAttempts":2},{"name":"stream","host":"h.example","pathPrefix":"/stream/",)"
               R"("kind":"streaming","service":"custom","timeoutMs":120000,"latencyGoalMs":8000,)"
               R"("maxAttempts":2}],"services":[{"name":"bookings"},{"name":"custom"}],)"
               R"("limits":{"maxHeaderBytes":)" +
                   std::to_string(bounds_.header_bytes) + R"(,"maxBodyBytes":)" +
                   std::to_string(bounds_.body_bytes) +
                   R"(,"headerTimeoutMs":120000,"idleTimeoutMs":120000}})");
    store_.put("servers/b1", upstream_record("bookings", upstream_.address(), bounds_.slots));
    write_settings();
    const std::string descriptors = std::to_string(bounds_.descriptors);
    const std::string program = DRAGONFLYMILL_BINARY_DIR "/dragonflymill";
    process_ = std::make_unique<child_process>(
        "/usr/bin/prlimit", std::vector<std::string>{"--nofile=" + descriptors + ":" + descriptors, program,
                                                     "platform-gateway", "--settings", settings_file_});
    cr_assert(comes_true([this] { return answers_readiness(); }), "the gateway isn't ready");
    cr_assert(answers(), "the gateway doesn't answer before the crowd");
    descriptors_at_rest_ = open_descriptors(process_->pid());
}

crowd_gateway::~crowd_gateway()
{
    process_.reset();
    std::filesystem::remove(settings_file_);
}

void crowd_gateway::write_settings() const
{
    const std::string ip = ip_.to_string();
    std::ofstream(settings_file_) << "nodeName=crowd\nzone=a\nip=" << ip << "\nlisten.front=" << ip << ':'
                                  << caller_port_ << "\nlisten.ready=" << ip << ':' << ready_port_
                                  << "\ninternalPorts=" << peer_port_ << "\nseeds=" << ip
                                  << ":1\nlimits.memoryMb=" << bounds_.memory_mb
                                  << "\nlimits.maxFds=" << bounds_.descriptors
                                  << "\nbounds.graceS=" << bounds_.grace_s
                                  << "\nplatform.address=" << store_.address() << '\n';
}

auto crowd_gateway::request_head(const std::string& path, const std::string& deadline_ms) -> std::string
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nDragonflymill-Attempt-Id: c\r\nDragonflymill-Request-Deadline: " +
           deadline_ms + "\r\n";
}

void crowd_gateway::answer(taken_connection& call)
{
    if (call.received.starts_with("POST /book/hang ")) {
        return;
    }
    const std::string body(call.received.starts_with("POST /book/large ") ? mebibyte : 2, 'y');
    const auto response = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nDragonflymill-Attempt-Id: " +
        field_of(call.received, "Dragonflymill-Attempt-Id") +
        "\r\nDragonflymill-Server-Seal: b1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body);
    boost::asio::async_write(call.socket, boost::asio::buffer(*response),
                             [kept = call.shared_from_this(), response](const auto&, std::size_t) {});
}

void crowd_gateway::add_custom_upstream(const std::string& address)
{
    store_.put("servers/o1", upstream_record("custom", address, bounds_.slots));
    const auto is_known = [this] {
        // A request to a service without upstreams is rejected.
        return !response_to(callers(), request_head("/custom/probe", "1000") + "Content-Length: 0\r\n\r\n")
                    .starts_with("HTTP/1.1 503 ");
    };
    cr_assert(comes_true(is_known), "the gateway doesn't know the upstream");
}

void crowd_gateway::exchange_with(const tcp::endpoint& server, const std::string& request,
                                  const std::function<bool(std::string_view received)>& done)
{
    tcp::socket socket(loop_);
    std::string received;
    std::array<char, 4096> buffer{};
    bool ended = false;
    const std::function<void()> read = [&] {
        socket.async_read_some(boost::asio::buffer(buffer), [&](const auto& failed, std::size_t bytes) {
            received.append(buffer.data(), bytes);
            ended = static_cast<bool>(failed);
            if (!failed) {
                read();
            }
        });
    };
    socket.async_connect(server, [&](const auto& refused) {
        ended = static_cast<bool>(refused);
        if (refused) {
            return;
        }
        boost::asio::async_write(socket, boost::asio::buffer(request), [](const auto&, std::size_t) {});
        read();
    });
    (void)comes_true([&] { return done(received) || ended; });
    boost::system::error_code ignored;
    socket.close(ignored);
    // The handlers refer to what ends here.
    const auto end = std::chrono::steady_clock::now() + poll_interval;
    while (std::chrono::steady_clock::now() < end) {
        loop_.run_one_for(poll_interval);
    }
}

auto crowd_gateway::response_to(const tcp::endpoint& server, const std::string& request) -> std::string
{
    std::string response;
    exchange_with(server, request, [&](std::string_view received) {
        response = received;
        return received.find("\r\n\r\n") != std::string_view::npos;
    });
    return response;
}

auto crowd_gateway::whole_response_to(const std::string& request) -> received_response
{
    received_response response;
    http::response_parser parser(false);
    std::size_t parsed = 0;
    exchange_with(callers(), request, [&](std::string_view received) {
        if (received.size() > parsed) {
            response.complete =
                parser.take(received.substr(parsed), response.body) == http::response_state::complete;
            parsed = received.size();
        }
        return response.complete;
    });
    response.status = parser.head().status;
    return response;
}

auto crowd_gateway::answers() -> bool
{
    const std::string id = "o" + std::to_string(++requests_);
    const std::string response =
        response_to(callers(), "POST /book/x HTTP/1.1\r\nHost: h.example\r\nDragonflymill-Attempt-Id: " + id +
                                   "\r\nDragonflymill-Request-Deadline: 25000\r\nContent-Length: 5\r\n\r\n"
                                   "hello");
    if (!response.starts_with("HTTP/1.1 200 ")) {
        std::fprintf(stderr, "an ordinary request got: %s\n", response.substr(0, 400).c_str());
        return false;
    }
    return true;
}

auto crowd_gateway::answers_readiness() -> bool
{
    return response_to(readiness(), "GET /dragonflymill/ready HTTP/1.1\r\nHost: r\r\n\r\n")
        .starts_with("HTTP/1.1 200 ");
}

auto crowd_gateway::comes_true(const std::function<bool()>& done) -> bool
{
    const auto end = std::chrono::steady_clock::now() + generous;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop_.run_one_for(poll_interval);
    }
    return true;
}

void crowd_gateway::check_bounds()
{
    cr_assert(!process_->wait(duration::zero()).has_value(), "the process has ended");
    const std::size_t peak = peak_memory(process_->pid());
    std::fprintf(stderr, "peak %zu MB of %zu, now %zu descriptors\n", peak / mebibyte, bounds_.memory_mb,
                 open_descriptors(process_->pid()));
    cr_assert(peak <= bounds_.memory_mb * mebibyte, "%zu MB of memory of %zu", peak / mebibyte,
              bounds_.memory_mb);
}

void crowd_gateway::check_released()
{
    const auto left_at_upstream = [this] {
        return std::count_if(upstream_.requests.begin(), upstream_.requests.end(),
                             [](const auto& taken) { return !taken->ended; });
    };
    cr_expect(comes_true([&] { return left_at_upstream() == 0; }), "%td calls are left at the upstream",
              left_at_upstream());
    const auto descriptors = [this] { return open_descriptors(process_->pid()); };
    cr_expect(comes_true([&] { return descriptors() <= descriptors_at_rest_ + descriptor_slack; }),
              "%zu descriptors of %zu at rest", descriptors(), descriptors_at_rest_);
    const auto memory = [this] { return resident_memory(process_->pid()) / mebibyte; };
    cr_expect(comes_true([&] { return memory() < bounds_.memory_mb / 2; }), "%zu MB of memory are held",
              memory());
    cr_assert(answers(), "no ordinary request is answered after the crowd has left");
    check_bounds();
}

} // namespace dragonflymill::crowd
