#pragma once

#include "http/http_call.h"

#include <functional>

namespace dragonflymill::http {

/// Told how a call ended and what of its answer came; the answer is whole only if the end says so.
using answer_handler = std::function<void(call_end end, const http_response& answer)>;

/// Handlers for a call whose answer is wanted in one piece.
[[nodiscard]] auto gather_answer(answer_handler done) -> call_handlers;

} // namespace dragonflymill::http
