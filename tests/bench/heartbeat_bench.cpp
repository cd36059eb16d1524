// Measures the network cost of heartbeats for a gateway: real gRPC between the sidecar links of one process
// and a sidecar's server, through a loopback relay that counts TCP payload and reads. Each link belongs to
// its own upstream, all behind the same server. Measured with idle links, and with one silent attempt in
// flight on each.

#include "bench/counting_relay.h"
#include "gateway/sidecar_link.h"
#include "runtime/clock.h"
#include "sidecar/gate_server.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <mutex>
#include <thread>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr duration tick_interval = 10ms;
constexpr duration settling_time = 3s;
constexpr duration measurement_time = 10s;
/// Bytes of IPv4 and TCP headers with time stamps, for each segment and again for its separate
/// acknowledgement.
constexpr double header_bytes = 52;

auto answer_heartbeat(const sidecar::shell_event& event) -> bool
{
    if (const auto* heartbeat = std::get_if<sidecar::heartbeat_event>(&event)) {
        wire::heartbeat_pong pong;
        pong.set_number(heartbeat->number);
        pong.set_sender("sidecar-entry-17");
        auto& load = *pong.mutable_load();
        load.set_outstanding(180'000);
        load.set_allowed(400'000);
        for (const auto queued : {12'000, 40'000, 90'000, 0}) {
            load.add_queued_prefill(queued);
        }
        load.set_running(21);
        load.set_memory_used(1'200'000);
        load.set_memory_total(2'000'000);
        load.set_age_us(120'000);
        load.set_start(1'764'725'000'000'000);
        heartbeat->connection->answer(std::move(pong));
    }
    return true;
}

/// One gateway's links to `count` upstreams.
class gateway_links
{
public:
    gateway_links(std::size_t count, const std::string& address)
    {
        for (std::size_t i = 0; i < count; ++i) {
            upstream_entry upstream;
            upstream.id = upstream_id("engine-" + std::to_string(i));
            upstream.sidecar_address = address;
            const auto sink = [this](link_event event) { record(std::move(event)); };
            links_.emplace(upstream.id, std::make_unique<gateway::sidecar_link>(
                                            runtime::now(), upstream, process_id("gateway-entry-17"),
                                            heartbeat_options{}, sink, calls_));
        }
    }
    ~gateway_links()
    {
        links_.clear();
        calls_.cancel_and_wait();
    }
    gateway_links(const gateway_links&) = delete;
    auto operator=(const gateway_links&) -> gateway_links& = delete;

    void open_attempts()
    {
        std::uint64_t number = 0;
        for (auto& [id, link] : links_) {
            attempt_spec spec;
            spec.request = request_id("r" + std::to_string(++number));
            spec.remaining = 1h;
            link->open_attempt(runtime::now(), {exchange_number(number), attempt_number(1)}, spec,
                               std::make_shared<const std::string>("prompt"));
        }
    }

    void run(duration time)
    {
        for (const auto end = runtime::now() + time; runtime::now() < end;) {
            for (const auto& answer : take_answers()) {
                links_.at(answer.upstream)->heard(runtime::now());
            }
            for (auto& [id, link] : links_) {
                static_cast<void>(link->tick(runtime::now()));
            }
            std::this_thread::sleep_for(tick_interval);
        }
    }

private:
    using link_event = gateway::link_event;

    void record(link_event event)
    {
        if (const auto* answer = std::get_if<gateway::heartbeat_answered>(&event)) {
            const std::lock_guard lock(mutex_);
            answers_.push_back(*answer);
        }
    }
    auto take_answers() -> std::vector<gateway::heartbeat_answered>
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(answers_, {});
    }

    rpc::call_tracker calls_;
    std::mutex mutex_;
    std::vector<gateway::heartbeat_answered> answers_;
    std::map<upstream_id, std::unique_ptr<gateway::sidecar_link>> links_;
};

void measure(const char* what, std::size_t count, bool work)
{
    sidecar::gate_service service(answer_heartbeat);
    int port = 0;
    const auto server = sidecar::start_gate_server("127.0.0.1:0", service, port);
    counting_relay relay(port);
    {
        gateway_links links(count, relay.address());
        links.run(settling_time);
        if (work) {
            links.open_attempts();
            links.run(1s);
        }
        const auto up = relay.up.bytes.load();
        const auto up_pieces = relay.up.pieces.load();
        const auto down = relay.down.bytes.load();
        const auto down_pieces = relay.down.pieces.load();
        links.run(measurement_time);
        const auto seconds = static_cast<double>(measurement_time.count()) / 1e6;
        const auto rate = [&](std::uint64_t now, std::uint64_t before) {
            return static_cast<double>(now - before) / seconds;
        };
        const auto sent = rate(relay.up.bytes, up);
        const auto received = rate(relay.down.bytes, down);
        const auto sent_pieces = rate(relay.up.pieces, up_pieces);
        const auto received_pieces = rate(relay.down.pieces, down_pieces);
        std::printf("| %s | %zu | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f |\n", what, count, sent, received,
                    sent_pieces, received_pieces, sent + header_bytes * (sent_pieces + received_pieces),
                    received + header_bytes * (sent_pieces + received_pieces));
        std::fflush(stdout);
    }
    server->Shutdown(std::chrono::system_clock::now());
}

} // namespace

auto main() -> int
{
    try {
        std::puts("| links | count | payload sent, B/s | received, B/s | pieces sent/s | received/s | with "
                  "headers and "
                  "an acknowledgement each, sent B/s | received B/s |\n|---|---|---|---|---|---|---|---|");
        for (const std::size_t count : {8, 32, 128}) {
            measure("idle", count, false);
        }
        for (const std::size_t count : {8, 32, 128}) {
            measure("a try waits without a word", count, true);
        }
        return 0;
    }
    catch (const std::exception& failed) {
        std::fprintf(stderr, "%s\n", failed.what());
        return 1;
    }
}
