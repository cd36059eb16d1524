#include "edge/status_pages.h"

namespace dragonflymill::edge {

auto status_pages::begin(const std::shared_ptr<caller_session>& session, caller_request request)
    -> std::shared_ptr<open_request>
{
    if (request.path() == shown_.ready_path) {
        const bool ready = shown_.ready();
        session->answer(ready ? 200 : 503, ready ? "OK" : "Service Unavailable", {}, "");
    }
    else if (request.path() == "/metrics") {
        session->answer(200, "OK", {{"Content-Type", "text/plain; version=0.0.4"}}, shown_.metrics.text());
    }
    else {
        session->answer(404, "Not Found", {}, "");
    }
    return nullptr;
}

} // namespace dragonflymill::edge
