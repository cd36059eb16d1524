#include "app/status_client.h"

#include "http/address.h"
#include "http/http_call.h"
#include "runtime/clock.h"

#include <boost/asio/io_context.hpp>

namespace dragonflymill::app {

namespace {

constexpr duration answer_timeout = 5s;
constexpr unsigned status_ok = 200;

auto unreachable(const socket_address& address, const char* what) -> error
{
    return {error_kind::unavailable, to_text(address) + ' ' + what,
            "check the process and its [listen] admin"};
}

} // namespace

auto fetch_status(const socket_address& address) -> result<process_status>
{
    auto server = http::parse_address(to_text(address));
    if (server.has_error()) {
        return server.error();
    }
    boost::asio::io_context context;
    http::call_limits limits;
    limits.first_byte_timeout = answer_timeout;
    unsigned status = 0;
    std::string body;
    http::call_end ended = http::call_end::broken;
    const auto call = std::make_shared<http::http_call>(context, server.value(), limits);
    call->start({"GET", status_path, {}, ""}, runtime::now() + answer_timeout,
                {[&status](unsigned code, const std::string& /*type*/) { status = code; },
                 [&body](std::string_view bytes) { body += bytes; },
                 [&ended](http::call_end end) { ended = end; }});
    context.run();
    if (ended != http::call_end::whole) {
        return unreachable(address,
                           ended == http::call_end::not_sent ? "can't be reached" : "did not answer");
    }
    if (status != status_ok) {
        return unreachable(address, "does not answer with a status");
    }
    return parse_process_status(body);
}

} // namespace dragonflymill::app
