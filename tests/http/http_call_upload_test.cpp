#include "http/http_call.h"
#include "http/whole_answer.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"
#include "support/early_responder.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace dragonflymill;
using namespace dragonflymill::http;
using test_support::early_responder;
using test_support::early_response;
using ending = early_response::ending;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// More than the socket buffers of both sides hold.
constexpr std::size_t long_upload = 8 * mebibyte;
/// Fits into the caller's socket buffer while the upstream takes next to nothing.
constexpr std::size_t short_upload = 262'144;
constexpr int small_buffer = 4'096;

auto unframed_part() -> std::string
{
    return "HTTP/1.1 200 OK\r\n\r\n" + std::string(20'000, 'p');
}

/// Uploads `bytes` to an upstream that answers with `response`; returns how the call ended.
auto upload(const early_response& response, std::size_t bytes) -> call_end
{
    boost::asio::io_context loop{1};
    early_responder upstream(loop, response);
    call_limits limits;
    limits.total_timeout = 20s;
    std::optional<call_end> ended;
    const auto started =
        std::make_shared<http_call>(loop, parse_tcp_endpoint(upstream.address()).value(), limits);
    started->start({"POST", "/", {}, std::string(bytes, 'u')}, runtime::now() + 30s,
                   gather_answer([&](call_end end, const http_response& /*answer*/) { ended = end; }));
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!ended) {
        cr_assert(std::chrono::steady_clock::now() < give_up, "the call doesn't end");
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return *ended;
}

} // namespace

// Guards against a part of a response without a length that is taken for complete after a reset.
Test(http_call_upload, is_not_whole_after_a_reset)
{
    for (const std::size_t bytes : {short_upload, long_upload}) {
        cr_assert(upload({{unframed_part()}}, bytes) == call_end::broken);
        cr_assert(upload({{unframed_part()}, ending::reset, 1, 0, false}, bytes) == call_end::broken);
        cr_assert(upload({{unframed_part()}, ending::reset, 0, small_buffer}, bytes) == call_end::broken);
    }
}

// Guards against an orderly end that is taken for that of the response, though the upstream hasn't taken the
// request.
Test(http_call_upload, is_not_whole_if_the_upstream_closes_before_it_has_the_request)
{
    cr_assert(upload({{unframed_part()}, ending::half_close, 0, small_buffer}, short_upload) ==
              call_end::broken);
}

// Guards against a response without a length that is withheld though its upstream has taken the request.
Test(http_call_upload, is_whole_if_the_request_was_taken)
{
    cr_assert(upload({{unframed_part()}, ending::half_close_read, short_upload, 0, false}, short_upload) ==
              call_end::whole);
}
