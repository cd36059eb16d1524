#include "soak/soak_caller.h"
#include "soak/soak_world.h"

namespace dragonflymill::soak {

using namespace std::chrono_literals;

namespace {

/// How often and after which time a caller repeats a request under which upstreams end.
constexpr int repetitions = 9;
constexpr std::chrono::milliseconds return_time = 350ms;

} // namespace

void soak_world::next_fatal_request()
{
    const bool is_stream = parts_random_.chance(0.5);
    const std::string name = std::string(soak_upstream::fatal_marker) + std::to_string(++made_);
    tell("a caller repeats " + name + ", under which " + (is_stream ? "engines" : "bookings") + " end");
    send_fatal_request(name, is_stream, repetitions);
}

void soak_world::send_fatal_request(const std::string& name, bool is_stream, int left)
{
    if (left == 0) {
        return;
    }
    soak_gateway& gateway = gateways_[parts_random_.below(gateways_.size())];
    const std::string request = "r" + std::to_string(++made_);
    requests_[request] = {gateway.ip, std::chrono::steady_clock::now(), name};
    soak_call call{request, is_stream ? "/chat/x" : "/find/x", is_stream ? "f1:40," + name + ":30" : "",
                   name};
    call.on_failed = [this, name, is_stream, left] {
        later(return_time, [this, name, is_stream, left] { send_fatal_request(name, is_stream, left - 1); });
    };
    std::make_shared<caller>(*this, std::move(call))->start(gateway, caller_port_);
}

} // namespace dragonflymill::soak
