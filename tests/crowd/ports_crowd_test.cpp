#include "crowd/crowd_gateway.h"

#include <criterion/criterion.h>

using namespace dragonflymill::crowd;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

auto large_body() -> crowd_message
{
    return {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3fffff\r\n",
            std::string(mebibyte, 'x'), 3};
}

/// Lets a crowd send to a port that isn't the callers' own, and leave.
void stand_up_to(crowd_gateway& gateway, const boost::asio::ip::tcp::endpoint& port, std::size_t members,
                 const crowd_message& message)
{
    caller_crowd crowd(gateway.loop(), port, members, message);
    crowd.run_until_sent();
    gateway.check_bounds();
    cr_expect(gateway.answers_readiness(), "no check of readiness is answered beside the crowd");
    cr_expect(gateway.answers(), "no ordinary request is answered beside the crowd");
    crowd.leave();
    gateway.check_released();
}

} // namespace

// Guards against bodies sent to the port of readiness checks.
Test(ports_crowd, bodies_at_the_readiness_port, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, gateway.readiness(), 60, large_body());
}

// Guards against bodies sent to the port of metrics.
Test(ports_crowd, bodies_at_the_metrics_port, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, gateway.metrics(), 60, large_body());
}

// Guards against bodies sent to the peers' port.
Test(ports_crowd, bodies_at_the_peers_port, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, gateway.peers(), 60, large_body());
}

// Guards against idle connections to the port of readiness checks that take all descriptors.
Test(ports_crowd, idle_connections_at_the_readiness_port, .timeout = 250)
{
    crowd_gateway gateway({.descriptors = 256});
    stand_up_to(gateway, gateway.readiness(), 300, {""});
}

// Guards against the same at the port of metrics.
Test(ports_crowd, idle_connections_at_the_metrics_port, .timeout = 250)
{
    crowd_gateway gateway({.descriptors = 256});
    stand_up_to(gateway, gateway.metrics(), 300, {""});
}

// Guards against the same at the peers' port.
Test(ports_crowd, idle_connections_at_the_peers_port, .timeout = 250)
{
    crowd_gateway gateway({.descriptors = 256});
    stand_up_to(gateway, gateway.peers(), 300, {""});
}
