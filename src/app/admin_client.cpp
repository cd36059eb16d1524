#include "app/admin_client.h"

#include "http/whole_answer.h"
#include "runtime/clock.h"
#include "settings/socket_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

namespace dragonflymill::app {

namespace {

constexpr duration answer_timeout = 5s;
constexpr unsigned first_failure_status = 300;

auto unreachable(const socket_address& address, http::call_end end) -> error
{
    const bool sent = end != http::call_end::not_sent;
    return {error_kind::unavailable,
            to_text(address) + (sent ? " did not answer; it may have got the request" : " can't be reached"),
            "check the process and its [listen] admin, then look at its status"};
}

/// The process's own words for why it refused.
auto refused(const http::http_response& response) -> error
{
    boost::system::error_code unreadable;
    const auto body = boost::json::parse(response.body, unreadable);
    const auto* const text = unreadable ? nullptr : body.find_pointer("/error/remedy", unreadable);
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
    limits.first_byte_timeout = answer_timeout;
    auto end = http::call_end::broken;
    http::http_response response;
    const auto call = std::make_shared<http::http_call>(context, server.value(), limits);
    call->start(std::move(request), runtime::now() + answer_timeout,
                http::gather_answer([&](http::call_end how, const http::http_response& answer) {
                    end = how;
                    response = answer;
                }));
    context.run();
    if (end != http::call_end::whole) {
        return unreachable(address, end);
    }
    if (response.status >= first_failure_status) {
        return refused(response);
    }
    return response;
}

} // namespace dragonflymill::app
