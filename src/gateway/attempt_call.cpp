#include "gateway/attempt_call.h"

#include "rpc/wire_convert.h"

#include <algorithm>
#include <utility>

namespace dragonflymill::gateway {

namespace {

constexpr std::size_t piece_bytes = 256 * 1024;
/// The sidecar enforces the time limit itself; the transport's deadline only ends calls of which no word
/// comes.
constexpr duration deadline_slack = 2s;

} // namespace

auto attempt_call::open(wire::sidecar_gate::Stub& stub, const identity& who, content what, pulse_ptr pulse,
                        link_sink sink, rpc::call_tracker& calls) -> std::shared_ptr<attempt_call>
{
    std::shared_ptr<attempt_call> made(
        new attempt_call(who, std::move(what.prompt), std::move(pulse), std::move(sink), calls));
    made->self_ = made;
    made->context_.set_deadline(std::chrono::system_clock::now() + what.spec.remaining + deadline_slack);
    *made->outgoing_.mutable_open() = rpc::to_wire(what.spec);
    calls.begin(made->context_);
    stub.async()->attempt(&made->context_, made.get());
    made->AddHold();
    made->StartRead(&made->incoming_);
    made->StartWrite(&made->outgoing_);
    made->StartCall();
    return made;
}

attempt_call::attempt_call(identity who, std::shared_ptr<const std::string> prompt, pulse_ptr pulse,
                           link_sink sink, rpc::call_tracker& calls)
    : who_(std::move(who))
    , prompt_(std::move(prompt))
    , pulse_(std::move(pulse))
    , sink_(std::move(sink))
    , calls_(calls)
{
}

void attempt_call::send_prompt()
{
    const std::lock_guard lock(mutex_);
    prompt_wanted_ = true;
    if (!writing_ && held_) {
        write_piece_locked();
    }
}

void attempt_call::cancel()
{
    context_.TryCancel();
    const std::lock_guard lock(mutex_);
    ended_ = true; // whoever cancels wants to hear no more of it
    release_locked();
}

void attempt_call::lose()
{
    context_.TryCancel();
    const std::lock_guard lock(mutex_);
    release_locked();
}

auto attempt_call::over() const -> bool
{
    const std::lock_guard lock(mutex_);
    return over_;
}

void attempt_call::write_piece_locked()
{
    const auto length = std::min(piece_bytes, prompt_->size() - prompt_sent_);
    outgoing_.Clear();
    auto& piece = *outgoing_.mutable_prompt();
    piece.set_text(prompt_->data() + prompt_sent_, length);
    prompt_sent_ += length;
    piece.set_last(prompt_sent_ == prompt_->size());
    prompt_begun_ = true;
    writing_ = true;
    StartWrite(&outgoing_);
}

void attempt_call::release_locked()
{
    if (std::exchange(held_, false)) {
        RemoveHold();
    }
}

void attempt_call::OnWriteDone(bool ok)
{
    const std::lock_guard lock(mutex_);
    writing_ = false;
    const bool prompt_left = !prompt_begun_ || prompt_sent_ < prompt_->size();
    if (!ok || !prompt_left) {
        prompt_.reset();
        release_locked();
        return;
    }
    if (prompt_wanted_ && held_) {
        write_piece_locked();
    }
}

void attempt_call::OnReadDone(bool ok)
{
    if (!ok) {
        const std::lock_guard lock(mutex_);
        release_locked();
        return;
    }
    pulse_->beat();
    pass_on(incoming_);
    incoming_.Clear();
    StartRead(&incoming_);
}

void attempt_call::pass_on(const wire::attempt_event& event)
{
    if (event.has_load()) {
        sink_(gateway_event(gateway_input::load_reported{who_.upstream, rpc::from_wire(event.load())}));
    }
    {
        const std::lock_guard lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = event.has_refused() || event.has_finished();
    }
    if (event.has_granted()) {
        sink_(gateway_event(gateway_input::attempt_granted{who_.key}));
    }
    else if (event.has_refused()) {
        sink_(gateway_event(gateway_input::attempt_refused{who_.key, rpc::from_wire(event.refused())}));
    }
    else if (event.has_tokens()) {
        const auto& tokens = event.tokens();
        sink_(gateway_event(gateway_input::attempt_tokens{
            who_.key, tokens.offset(),
            std::vector<std::string>(tokens.text().begin(), tokens.text().end())}));
    }
    else if (event.has_finished()) {
        sink_(gateway_event(gateway_input::attempt_finished{
            who_.key, event.finished().tokens(), event.finished().reason(), event.finished().source()}));
    }
}

void attempt_call::OnDone(const grpc::Status& /*status*/)
{
    bool prompt_begun = false;
    bool say_broken = false;
    {
        const std::lock_guard lock(mutex_);
        over_ = true;
        say_broken = !std::exchange(ended_, true);
        prompt_begun = prompt_begun_;
    }
    if (say_broken) {
        sink_(gateway_event(gateway_input::attempt_broken{who_.key, prompt_begun}));
    }
    const auto last = std::move(self_);
    calls_.end(context_);
}

} // namespace dragonflymill::gateway
