#pragma once

#include "http/http_call.h"

#include <functional>

namespace dragonflymill::http {

/// Receives the result of a call and the part of the response that arrived; the response is complete only if
/// `end` is `call_end::whole`.
using answer_handler = std::function<void(call_end end, const http_response& answer)>;

/// Returns call handlers that buffer the response and pass it to `done` when the call ends.
[[nodiscard]] auto gather_answer(answer_handler done) -> call_handlers;

} // namespace dragonflymill::http
