#include "edge/status_pages.h"

namespace dragonflymill::edge {

auto status_pages::limits() const -> direct::caller_limits
{
    direct::caller_limits limits;
    limits.body_bytes = 0; // no page takes one
    return limits;
}

auto status_pages::body_time(const http::request_reader& /*head*/) const -> duration
{
    return limits().header_time;
}

auto status_pages::begin(const std::shared_ptr<caller_session>& session, caller_request request)
    -> std::shared_ptr<in_flight_request>
{
    if (request.path() == sources_.ready_path) {
        const bool ready = sources_.ready();
        session->send_response(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", {}, "");
    }
    else if (request.path() == "/metrics") {
        session->send_response(200, "OK", {{"Content-Type", "text/plain; version=0.0.4"}},
                               sources_.metrics.text());
    }
    else {
        session->send_response(404, "Not Found", {}, "");
    }
    return nullptr;
}

} // namespace dragonflymill::edge
