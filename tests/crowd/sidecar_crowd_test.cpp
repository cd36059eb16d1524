#include "crowd/caller_crowd.h"
#include "crowd/process_memory.h"
#include "process/process_fleet.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::crowd;
using dragonflymill::test::process_fleet;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
constexpr std::size_t kibibyte = 1U << 10U;
/// Memory of a gateway's host in docs/CAPACITY.md, for the default limits.
constexpr std::size_t host_memory = 256 * mebibyte;

auto callers_of(const process_fleet& fleet) -> boost::asio::ip::tcp::endpoint
{
    const std::string address = fleet.gateway("gateway-1");
    const auto colon = address.find(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

auto request_head() -> std::string
{
    return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-of-doorstep\r\n"
           "Content-Type: application/json\r\n";
}

auto answers(const process_fleet& fleet) -> bool
{
    return standins::call_and_wait(fleet.completion("gateway-1", 100, 1)).status == 200;
}

/// Lets a crowd send and leave; checks memory, and an ordinary request beside it and after it.
void stand_up_to(process_fleet& fleet, std::size_t members, const crowd_message& message)
{
    boost::asio::io_context loop;
    caller_crowd crowd(loop, callers_of(fleet), members, message);
    crowd.run_until_sent();
    cr_expect(answers(fleet), "no ordinary request is answered beside the crowd");
    crowd.leave();
    cr_expect(answers(fleet), "no ordinary request is answered after the crowd");
    auto& gateway = fleet.process("gateway-1");
    cr_assert(!gateway.wait(duration::zero()).has_value(), "the process has ended");
    const std::size_t peak = peak_memory(gateway.pid());
    std::fprintf(stderr, "peak %zu MB of %zu\n", peak / mebibyte, host_memory / mebibyte);
    cr_assert(peak <= host_memory, "%zu MB of memory", peak / mebibyte);
}

} // namespace

// Guards against open bodies of a byte that are counted as bodies of the largest size.
Test(sidecar_crowd, six_open_chunked_bodies, .timeout = 250)
{
    process_fleet fleet;
    stand_up_to(fleet, 6, {request_head() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"});
}

// Guards against the same with announced lengths.
Test(sidecar_crowd, six_announced_bodies, .timeout = 250)
{
    process_fleet fleet;
    stand_up_to(fleet, 6,
                {request_head() + "Content-Length: " + std::to_string(16 * mebibyte) + "\r\n\r\nx"});
}

// Guards against memory that grows with the number of bodies that stop just short of their end.
Test(sidecar_crowd, chunked_bodies_stop_short, .timeout = 250)
{
    process_fleet fleet;
    stand_up_to(
        fleet, 100,
        {request_head() + "Transfer-Encoding: chunked\r\n\r\n400000\r\n", std::string(mebibyte - 1, 'x'), 4});
}

// Guards against heads of many short fields, which take twenty times their size.
Test(sidecar_crowd, heads_of_many_fields, .timeout = 250)
{
    process_fleet fleet({.time_scale = "1", .gateway_lines = "[limits]\nmax_header = 256KiB\n"});
    std::string fields;
    for (int count = 0; count < 60'000; ++count) {
        fields += "a:\r\n";
    }
    stand_up_to(fleet, 100, {"POST /v1/completions HTTP/1.1\r\n" + fields});
}

// Guards against callers whose leaving isn't seen while input is pipelined behind their request.
Test(sidecar_crowd, callers_leave_behind_pipelined_input, .timeout = 250)
{
    process_fleet fleet({.time_scale = "100", .gateway_lines = ""});
    const auto call = fleet.completion("gateway-1", 2'000, 20'000);
    const std::string request =
        request_head() + "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    boost::asio::io_context loop;
    caller_crowd crowd(loop, callers_of(fleet), 4, {request, std::string(kibibyte, 'x'), 200});
    crowd.run_until_sent();
    cr_assert(dragonflymill::test::comes_true([&] { return !fleet.busy_engine().empty(); }));
    crowd.leave();
    cr_assert(fleet.nothing_is_held(), "engines work on for callers that have left");
}
