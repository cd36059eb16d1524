#include "sidecar/attempt_reactor.h"

#include "rpc/wire_convert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::sidecar {

namespace {

/// The announced token count is an estimate, so a prompt may exceed its usual size; these limits bound the
/// memory that one prompt can use.
constexpr std::size_t max_bytes_per_token = 16;
constexpr std::size_t prompt_slack_bytes = 64 * 1024;
/// Upper bound on the tokens merged into one event while an earlier event is being written.
constexpr int max_joined_tokens = 4'096;

/// Appends the tokens of `next` to `last` if both are token events with consecutive offsets. Returns false
/// if they can't be merged.
auto join_tokens(wire::attempt_event& last, const wire::attempt_event& next) -> bool
{
    if (!last.has_tokens() || !next.has_tokens()) {
        return false;
    }
    auto& joined = *last.mutable_tokens();
    const auto& added = next.tokens();
    const bool follows = joined.offset() + joined.text_size() == added.offset();
    if (!follows || joined.text_size() >= max_joined_tokens) {
        return false;
    }
    for (const auto& text : added.text()) {
        joined.add_text(text);
    }
    return true;
}

} // namespace

auto attempt_reactor::open(grpc::CallbackServerContext* context, call_number call, shell_sink sink,
                           std::function<void(call_number)> on_done) -> std::shared_ptr<attempt_reactor>
{
    std::shared_ptr<attempt_reactor> reactor(
        new attempt_reactor(context, call, std::move(sink), std::move(on_done)));
    reactor->self_ = reactor;
    return reactor;
}

void attempt_reactor::begin()
{
    StartRead(&incoming_);
}

attempt_reactor::attempt_reactor(grpc::CallbackServerContext* context, call_number call, shell_sink sink,
                                 std::function<void(call_number)> on_done)
    : context_(context)
    , call_(call)
    , sink_(std::move(sink))
    , on_done_(std::move(on_done))
{
}

void attempt_reactor::send(wire::attempt_event event)
{
    const std::lock_guard lock(mutex_);
    if (finishing_) {
        return;
    }
    // gRPC is still writing the first event, so tokens can't be appended to it.
    const std::size_t first_free = writing_ ? 1 : 0;
    if (unsent_.size() > first_free && join_tokens(unsent_.back(), event)) {
        return;
    }
    unsent_.push_back(std::move(event));
    write_next_locked();
}

void attempt_reactor::finish(wire::attempt_event event)
{
    const std::lock_guard lock(mutex_);
    if (finishing_) {
        return;
    }
    finishing_ = true;
    unsent_.push_back(std::move(event));
    write_next_locked();
}

auto attempt_reactor::take_prompt() -> std::string
{
    const std::lock_guard lock(mutex_);
    return std::move(prompt_);
}

void attempt_reactor::write_next_locked()
{
    if (writing_ || finished_) {
        return;
    }
    if (!unsent_.empty()) {
        writing_ = true;
        StartWrite(&unsent_.front());
        return;
    }
    if (finishing_) {
        finished_ = true;
        Finish(grpc::Status::OK);
    }
}

void attempt_reactor::OnReadDone(bool ok)
{
    if (!ok) {
        return; // the gateway closed its sending side, or the call was cancelled, which OnCancel handles
    }
    if (!opened_) {
        handle_open();
        return;
    }
    handle_prompt();
}

void attempt_reactor::handle_open()
{
    if (!incoming_.has_open()) {
        refuse(refusal_code::internal, "open the call before sending a prompt");
        return;
    }
    opened_ = true;
    const auto spec = rpc::from_wire(incoming_.open());
    max_prompt_bytes_ =
        static_cast<std::size_t>(spec.prompt_tokens) * max_bytes_per_token + prompt_slack_bytes;
    if (!sink_(sidecar_event(sidecar_input::attempt_opened{call_, spec}))) {
        refuse(refusal_code::overloaded, "try another upstream");
        return;
    }
    StartRead(&incoming_);
}

void attempt_reactor::handle_prompt()
{
    auto& piece = *incoming_.mutable_prompt();
    {
        const std::lock_guard lock(mutex_);
        prompt_.append(piece.text());
    }
    if (prompt_.size() > max_prompt_bytes_) {
        static_cast<void>(sink_(sidecar_event(sidecar_input::call_cancelled{call_})));
        refuse(refusal_code::too_large, "send as many tokens as announced");
        return;
    }
    if (!piece.last()) {
        StartRead(&incoming_);
        return;
    }
    if (!sink_(sidecar_event(sidecar_input::prompt_received{call_}))) {
        refuse(refusal_code::overloaded, "try another upstream");
    }
}

void attempt_reactor::refuse(refusal_code code, const char* remedy)
{
    wire::attempt_event event;
    *event.mutable_refused() = rpc::to_wire(refusal{code, ran_state::no, 100ms, remedy});
    finish(std::move(event));
}

void attempt_reactor::OnWriteDone(bool ok)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
    if (!ok) {
        unsent_.clear();
        return;
    }
    unsent_.pop_front();
    write_next_locked();
}

void attempt_reactor::OnCancel()
{
    static_cast<void>(sink_(sidecar_event(sidecar_input::call_cancelled{call_})));
    const std::lock_guard lock(mutex_);
    finishing_ = true;
    if (!finished_) {
        finished_ = true;
        Finish(grpc::Status::CANCELLED);
    }
}

void attempt_reactor::OnDone()
{
    on_done_(call_);
    const auto self = std::move(self_); // releases the reference that kept the reactor alive
}

} // namespace dragonflymill::sidecar
