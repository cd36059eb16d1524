#include "app/admin_client.h"

#include "http/whole_answer.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

namespace dragonflymill::app {

namespace {

constexpr duration response_timeout = 5s;
constexpr unsigned first_failure_status = 300;

auto unreachable_error(const socket_address& address, http::call_end end) -> error
{
    const bool sent = end != http::call_end::not_sent;
    return {error_kind::unavailable,
            to_text(address) + (sent ? " did not answer; it may have got the request" : " can't be reached"),
            "check the process and its [listen] admin, then look at its status"};
}

/// Builds the error for a non-success status, with the `remedy` of the response's JSON error body if it has
/// one.
auto refusal_error(const http::http_response& response) -> error
{
    boost::system::error_code parse_error;
    const auto body = boost::json::parse(response.body, parse_error);
    const auto* const text = parse_error ? nullptr : body.find_pointer("/error/remedy", parse_error);
    const std::string why = text != nullptr && text->is_string()
                                ? std::string(text->get_string())
                                : "status " + std::to_string(response.status);
    return {error_kind::conflict, "refused: " + why, "see `dragonflymill status` for what the process has"};
}

} // namespace

auto call_admin(const socket_address& address, http::http_request request) -> result<http::http_response>
{
    auto server = tcp_endpoint(address);
    if (server.has_error()) {
        return server.error();
    }
    boost::asio::io_context context;
    http::call_limits limits;
    limits.first_byte_timeout = response_timeout;
    auto end = http::call_end::broken;
    http::http_response response;
    const auto call = std::make_shared<http::http_call>(context, server.value(), limits);
    call->start(std::move(request), runtime::now() + response_timeout,
                http::gather_answer([&](http::call_end outcome, const http::http_response& received) {
                    end = outcome;
                    response = received;
                }));
    context.run();
    if (end != http::call_end::whole) {
        return unreachable_error(address, end);
    }
    if (response.status >= first_failure_status) {
        return refusal_error(response);
    }
    return response;
}

} // namespace dragonflymill::app
