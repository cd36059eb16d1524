#include "crowd/crowd_gateway.h"

#include <criterion/criterion.h>

using namespace dragonflymill::crowd;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
constexpr std::size_t kibibyte = 1U << 10U;
constexpr const char* chunked = "Transfer-Encoding: chunked\r\n\r\n";

auto length_of(std::size_t bytes) -> std::string
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

auto repeated(const std::string& text, std::size_t times) -> std::string
{
    std::string all;
    for (std::size_t count = 0; count < times; ++count) {
        all += text;
    }
    return all;
}

/// Lets a crowd send and leave; checks the bounds and an ordinary request beside it and after it.
void stand_up_to(crowd_gateway& gateway, std::size_t members, const crowd_message& message)
{
    caller_crowd crowd(gateway.loop(), gateway.callers(), members, message);
    crowd.run_until_sent();
    gateway.check_bounds();
    cr_expect(gateway.answers(), "no ordinary request is answered beside the crowd");
    crowd.leave();
    gateway.check_released();
}

} // namespace

// Guards against memory that grows with the number of chunked bodies that stop just short of their end.
Test(direct_crowd, chunked_bodies_stop_short, .timeout = 250)
{
    crowd_gateway gateway({});
    const std::string chunk(mebibyte - kibibyte, 'x');
    stand_up_to(gateway, 100,
                {crowd_gateway::request_head() + chunked + "ffc00\r\n", chunk.substr(kibibyte), 1});
}

// Guards against the same with bodies whose length is announced, and against memory that isn't released.
Test(direct_crowd, announced_bodies_stop_short, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 100,
                {crowd_gateway::request_head() + length_of(mebibyte), std::string(mebibyte - 1, 'x'), 1});
}

// Guards against bodies of tiny chunks that take twice their size.
Test(direct_crowd, chunks_of_one_byte, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 60,
                {crowd_gateway::request_head() + chunked, repeated("1\r\nx\r\n", kibibyte), kibibyte - 1});
}

// Guards against complete requests without a bound on what they hold together while an upstream hangs.
Test(direct_crowd, complete_bodies_at_a_hanging_upstream, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(
        gateway, 100,
        {crowd_gateway::request_head("/book/hang") + length_of(mebibyte), std::string(mebibyte, 'x'), 1});
}

// Guards against bodies over the limit that are held up to the limit until they are rejected, and beyond.
Test(direct_crowd, chunked_bodies_over_the_limit, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 100,
                {crowd_gateway::request_head() + chunked,
                 "10000\r\n" + std::string(64 * kibibyte, 'x') + "\r\n", 64});
}

// Guards against announced bodies over the limit that are read before they are rejected.
Test(direct_crowd, announced_bodies_over_the_limit, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 100,
                {crowd_gateway::request_head() + length_of(4 * mebibyte), std::string(mebibyte, 'x'), 4});
}

// Guards against heads of many short fields, which take twenty times their size.
Test(direct_crowd, heads_of_many_fields, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 300, {"POST /book/x HTTP/1.1\r\n" + repeated("a:\r\n", 3'900)});
}

// Guards against callers whose leaving isn't seen while input is pipelined behind their request.
Test(direct_crowd, callers_leave_behind_pipelined_input, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 60,
                {crowd_gateway::request_head("/book/hang") + length_of(2) + "hi",
                 crowd_gateway::request_head("/book/hang") + length_of(kibibyte) + std::string(kibibyte, 'x'),
                 200});
}

// Guards against the places of an upstream that stay taken by callers who have left.
Test(direct_crowd, callers_leave_a_full_upstream, .timeout = 250)
{
    crowd_gateway gateway({.slots = 20});
    caller_crowd crowd(
        gateway.loop(), gateway.callers(), 60,
        {crowd_gateway::request_head("/book/hang") + length_of(2) + "hi",
         crowd_gateway::request_head("/book/hang") + length_of(kibibyte) + std::string(kibibyte, 'x'), 200});
    crowd.run_until_sent();
    gateway.check_bounds();
    crowd.leave();
    gateway.check_released();
}

// Guards against a chunk extension without an end.
Test(direct_crowd, endless_chunk_extensions, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 60,
                {crowd_gateway::request_head() + chunked + "5;x=", std::string(kibibyte, 'y'), 200});
}

// Guards against trailers without an end.
Test(direct_crowd, endless_trailers, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 60,
                {crowd_gateway::request_head() + chunked + "0\r\n", "x: yyyyyyyyyy\r\n", 13'000});
}

// Guards against a body that still arrives byte by byte after the deadline of its request.
Test(direct_crowd, bodies_outlast_their_deadline, .timeout = 250)
{
    crowd_gateway gateway({});
    caller_crowd crowd(gateway.loop(), gateway.callers(), 20,
                       {.head = crowd_gateway::request_head("/book/x", "1000") + length_of(kibibyte),
                        .piece = "x",
                        .pieces = kibibyte - 1,
                        .pause = std::chrono::milliseconds(500)});
    cr_assert(crowd.all_ended(), "bodies are waited for though nobody waits for their answers");
    gateway.check_released();
}

// Guards against answers that callers don't read, without a bound on what is kept for them together.
Test(direct_crowd, callers_read_no_answers, .timeout = 250)
{
    crowd_gateway gateway({});
    stand_up_to(gateway, 100,
                {crowd_gateway::request_head("/book/large") + length_of(2) + "hi", "", 0, "", false});
}

// Guards against idle connections that take the descriptors of upstreams, the store and readiness.
Test(direct_crowd, idle_connections_take_all_descriptors, .timeout = 250)
{
    crowd_gateway gateway({.descriptors = 256});
    caller_crowd crowd(gateway.loop(), gateway.callers(), 300, {""});
    crowd.run_until_sent();
    cr_expect(gateway.answers_readiness(), "no check of readiness is answered beside the crowd");
    cr_expect(gateway.answers(), "no ordinary request is answered beside the crowd");
    gateway.check_bounds();
    crowd.leave();
    gateway.check_released();
}

// Guards against incomplete bodies that take the descriptors instead.
Test(direct_crowd, incomplete_bodies_take_all_descriptors, .timeout = 250)
{
    crowd_gateway gateway({.descriptors = 256});
    caller_crowd crowd(gateway.loop(), gateway.callers(), 400,
                       {crowd_gateway::request_head() + chunked + "8000\r\n", std::string(kibibyte, 'x'), 8});
    crowd.run_until_sent();
    cr_expect(gateway.answers_readiness(), "no check of readiness is answered beside the crowd");
    cr_expect(gateway.answers(), "no ordinary request is answered beside the crowd");
    gateway.check_bounds();
    crowd.leave();
    gateway.check_released();
}

// Guards against a bound on all requests that no single one of the largest size fits into.
Test(direct_crowd, single_request_of_the_largest_size, .timeout = 250)
{
    constexpr std::size_t largest = 4 * mebibyte;
    crowd_gateway gateway({.body_bytes = largest});
    const std::string announced = gateway.response_to(
        gateway.callers(), crowd_gateway::request_head() + length_of(largest) + std::string(largest, 'x'));
    cr_expect(announced.starts_with("HTTP/1.1 200 "), "%s", announced.substr(0, 80).c_str());
    const std::string in_chunks =
        gateway.response_to(gateway.callers(), crowd_gateway::request_head() + chunked + "400000\r\n" +
                                                   std::string(largest, 'x') + "\r\n0\r\n\r\n");
    cr_expect(in_chunks.starts_with("HTTP/1.1 200 "), "%s", in_chunks.substr(0, 80).c_str());
    gateway.check_released();
}
