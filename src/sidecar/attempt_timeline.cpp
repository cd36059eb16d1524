#include "sidecar/attempt_timeline.h"

namespace dragonflymill::sidecar {

void attempt_timeline::note(const sidecar_event& event)
{
    if (const auto* opening = std::get_if<sidecar_input::attempt_opened>(&event)) {
        opened(opening->call, opening->spec);
    }
    else if (const auto* gone = std::get_if<sidecar_input::call_cancelled>(&event)) {
        tries_.erase(gone->call);
    }
}

void attempt_timeline::note(const sidecar_action& action)
{
    if (const auto* grant = std::get_if<sidecar_output::grant_attempt>(&action)) {
        answered(grant->call, "granted");
    }
    else if (const auto* refused = std::get_if<sidecar_output::refuse_call>(&action)) {
        ended(refused->call, "refused", to_string(refused->why.code));
    }
    else if (const auto* finished = std::get_if<sidecar_output::finish_attempt>(&action)) {
        ended(finished->call, "answer_end", finished->reason);
    }
}

void attempt_timeline::opened(call_number call, const attempt_spec& spec)
{
    if (!timeline_.enabled() || tries_.size() >= most_tries) {
        return;
    }
    tries_.insert_or_assign(call, noted_try{spec.request, spec.attempt});
    timeline_.record_receive(spec.request, "attempt",
                             attempt_message(spec.request, spec.attempt, open_message), spec.gateway.text());
}

void attempt_timeline::answered(call_number call, std::string_view step)
{
    const auto found = tries_.find(call);
    if (found != tries_.end()) {
        const noted_try& made = found->second;
        timeline_.record_send(made.request, step, attempt_message(made.request, made.attempt, grant_message));
    }
}

void attempt_timeline::ended(call_number call, std::string_view step, std::string_view detail)
{
    const auto found = tries_.find(call);
    if (found != tries_.end()) {
        const noted_try& made = found->second;
        timeline_.record_send(made.request, step, attempt_message(made.request, made.attempt, end_message),
                              detail);
        tries_.erase(found);
    }
}

} // namespace dragonflymill::sidecar
