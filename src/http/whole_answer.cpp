#include "http/whole_answer.h"

#include <memory>
#include <utility>

namespace dragonflymill::http {

auto gather_answer(answer_handler done) -> call_handlers
{
    const auto response = std::make_shared<http_response>();
    call_handlers handlers;
    handlers.on_header = [response](unsigned status, const std::string& content_type) {
        response->status = status;
        response->content_type = content_type;
    };
    handlers.on_bytes = [response](std::string_view bytes) { response->body += bytes; };
    handlers.on_end = [response, done = std::move(done)](call_end end) { done(end, *response); };
    return handlers;
}

} // namespace dragonflymill::http
