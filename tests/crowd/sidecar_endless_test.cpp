#include "crowd/process_memory.h"
#include "process/process_fleet.h"
#include "runtime/io_thread.h"
#include "support/early_responder.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <deque>

using namespace dragonflymill;
using namespace dragonflymill::test;
using test_support::early_responder;
using test_support::early_response;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// Memory of a process's host in docs/CAPACITY.md, for the default limits.
constexpr std::size_t host_memory = 256 * mebibyte;
/// As many as the bundle allows at once.
constexpr std::uint64_t bookings = 64;

void check_memory(process_fleet& fleet, const std::string& name)
{
    auto& process = fleet.process(name);
    cr_assert(!process.wait(duration::zero()).has_value(), "%s has ended", name.c_str());
    const std::size_t peak = crowd::peak_memory(process.pid());
    std::fprintf(stderr, "%s: peak %zu MB of %zu\n", name.c_str(), peak / mebibyte, host_memory / mebibyte);
    cr_expect(peak <= host_memory, "%s: %zu MB of memory", name.c_str(), peak / mebibyte);
}

} // namespace

// Guards against memory that grows with what a service sends without end, behind sidecars.
Test(sidecar_endless, answers_of_a_service_do_not_use_up_memory, .timeout = 250)
{
    process_fleet fleet;
    fleet.wait_until_keys_run();
    runtime::io_thread thread;
    early_responder service(
        thread.context(),
        {{"HTTP/1.1 200 OK\r\n\r\n", std::string(65'536, 'x')}, early_response::ending::repeat, 1, 0, false});
    thread.start();
    fleet.use_upstream("booking-1", service.address());
    std::uint64_t number = 5'000;
    const auto runs = [&] {
        const auto answer =
            standins::call_and_wait(fleet.booking("gateway-1", process_fleet::new_key(++number)));
        return answer.body.find(R"("ran":"unknown")") != std::string::npos && service.sent_bytes() > 0;
    };
    cr_assert(comes_true(runs), "no booking reaches the service");
    std::deque<background_call> calls;
    for (std::uint64_t count = 0; count < bookings; ++count) {
        calls.emplace_back(fleet.booking("gateway-1", process_fleet::new_key(++number)));
    }
    cr_expect(standins::call_and_wait(fleet.completion("gateway-1", 100, 1)).status == 200,
              "no completion is answered beside the bookings");
    for (background_call& call : calls) {
        cr_expect(call.answer().status != 200 && call.answer().status != 0, "status %u: %s",
                  call.answer().status, call.answer().failure.c_str());
    }
    check_memory(fleet, "sidecar-booking-1");
    check_memory(fleet, "gateway-1");
    thread.stop();
}
