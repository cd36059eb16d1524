#include "http/whole_answer.h"

#include <memory>
#include <utility>

namespace dragonflymill::http {

auto gather_answer(answer_handler done) -> call_handlers
{
    const auto answer = std::make_shared<http_response>();
    call_handlers handlers;
    handlers.on_header = [answer](unsigned status, const std::string& content_type) {
        answer->status = status;
        answer->content_type = content_type;
    };
    handlers.on_bytes = [answer](std::string_view bytes) { answer->body += bytes; };
    handlers.on_end = [answer, done = std::move(done)](call_end end) { done(end, *answer); };
    return handlers;
}

} // namespace dragonflymill::http
