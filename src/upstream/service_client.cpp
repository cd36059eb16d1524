#include "upstream/service_client.h"

#include "http/whole_answer.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace dragonflymill::upstream {

namespace {

constexpr std::size_t max_answer_bytes = 4 * 1024 * 1024;

auto request_of(const service_spec& spec) -> http::http_request
{
    http::http_request request{spec.method, spec.target, {}, spec.body};
    if (!spec.content_type.empty()) {
        request.fields.push_back({"Content-Type", spec.content_type});
    }
    if (!spec.idempotency_key.empty()) {
        request.fields.push_back({"Idempotency-Key", spec.idempotency_key});
    }
    request.fields.push_back({"X-Request-Id", spec.request.text()});
    return request;
}

} // namespace

service_client::service_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
                               duration connect_timeout, sink events)
    : context_(context)
    , server_(std::move(server))
    , connect_timeout_(connect_timeout)
    , events_(std::move(events))
{
}

void service_client::run(const sidecar_output::run_service& what)
{
    http::call_limits limits;
    limits.connect_timeout = std::min(connect_timeout_, what.remaining);
    limits.first_byte_timeout = what.remaining;
    limits.silence_timeout = what.remaining;
    limits.total_timeout = what.remaining;
    limits.max_body_bytes = max_answer_bytes;
    auto handlers = http::gather_answer(
        [this, number = what.call](http::call_end how, const http::http_response& answer) {
            if (how == http::call_end::whole) {
                events_(sidecar_input::service_answered{
                    number, {static_cast<int>(answer.status), answer.content_type, answer.body}});
                return;
            }
            events_(sidecar_input::service_failed{number, how != http::call_end::not_sent});
        });
    const auto call = std::make_shared<http::http_call>(context_, server_, limits);
    call->start(request_of(what.spec), what.not_after, std::move(handlers));
}

} // namespace dragonflymill::upstream
