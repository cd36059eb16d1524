#include "sidecar/attempt_timeline.h"

namespace dragonflymill::sidecar {

void attempt_timeline::note(const sidecar_event& event)
{
    if (const auto* opened = std::get_if<sidecar_input::attempt_opened>(&event)) {
        record_open(opened->call, opened->spec);
    }
    else if (const auto* cancelled = std::get_if<sidecar_input::call_cancelled>(&event)) {
        attempts_.erase(cancelled->call);
    }
}

void attempt_timeline::note(const sidecar_action& action)
{
    if (const auto* grant = std::get_if<sidecar_output::grant_attempt>(&action)) {
        record_grant(grant->call, "granted");
    }
    else if (const auto* refused = std::get_if<sidecar_output::refuse_call>(&action)) {
        record_end(refused->call, "refused", to_string(refused->why.code));
    }
    else if (const auto* finished = std::get_if<sidecar_output::finish_attempt>(&action)) {
        record_end(finished->call, "answer_end", finished->reason);
    }
}

void attempt_timeline::record_open(call_number call, const attempt_spec& spec)
{
    if (!timeline_.enabled() || attempts_.size() >= most_tries) {
        return;
    }
    attempts_.insert_or_assign(call, open_attempt{spec.request, spec.attempt});
    timeline_.record_receive(spec.request, "attempt",
                             attempt_message(spec.request, spec.attempt, open_message), spec.gateway.text());
}

void attempt_timeline::record_grant(call_number call, std::string_view step)
{
    const auto found = attempts_.find(call);
    if (found != attempts_.end()) {
        const open_attempt& entry = found->second;
        timeline_.record_send(entry.request, step,
                              attempt_message(entry.request, entry.attempt, grant_message));
    }
}

void attempt_timeline::record_end(call_number call, std::string_view step, std::string_view detail)
{
    const auto found = attempts_.find(call);
    if (found != attempts_.end()) {
        const open_attempt& entry = found->second;
        timeline_.record_send(entry.request, step, attempt_message(entry.request, entry.attempt, end_message),
                              detail);
        attempts_.erase(found);
    }
}

} // namespace dragonflymill::sidecar
