#include "sidecar/sidecar_log.h"

#include "log/logger.h"

#include <utility>

namespace dragonflymill::sidecar {

namespace {

void log_refusal(const refusal& why)
{
    const auto what = why.ran == ran_state::unknown ? event::call_unknown : event::permit_refused;
    log_event(what, field("code", to_string(why.code)), field("retry_after_us", why.retry_after));
}

} // namespace

void sidecar_log::log(const sidecar_event& input)
{
    if (const auto* report = std::get_if<sidecar_input::engine_reported>(&input)) {
        log_report(*report);
    }
    else if (const auto* confirmed = std::get_if<sidecar_input::cancel_confirmed>(&input)) {
        unconfirmed_cancels_.erase(confirmed->engine_request);
        log_event(event::memory_released, field("holding", confirmed->engine_request));
    }
}

void sidecar_log::log(const sidecar_action& action)
{
    if (const auto* refused = std::get_if<sidecar_output::refuse_call>(&action)) {
        log_refusal(refused->why);
    }
    else if (const auto* cancel = std::get_if<sidecar_output::cancel_stream>(&action)) {
        log_cancel(*cancel);
    }
    else if (std::holds_alternative<sidecar_output::send_ticket>(action)) {
        log_event(event::ticket_issued);
    }
    else if (const auto* answer = std::get_if<sidecar_output::answer_service>(&action)) {
        if (answer->replayed) {
            log_event(event::call_replayed);
        }
    }
}

void sidecar_log::log(const upstream_load& load)
{
    const bool has_reported = start_ != incarnation{}; // a plain service never reports
    const bool silent = has_reported && load.age > max_silence;
    if (std::exchange(was_silent_, silent) != silent) {
        log_event(silent ? event::upstream_unreachable : event::upstream_answers);
    }
    if (std::exchange(was_cold_, load.cold) != load.cold) {
        log_event(load.cold ? event::upstream_cold : event::upstream_warm);
    }
}

void sidecar_log::log_report(const sidecar_input::engine_reported& report)
{
    const auto before = std::exchange(start_, report.status.start);
    if (before != incarnation{} && before != start_) {
        unconfirmed_cancels_.clear();
        log_event(event::upstream_restarted, field("start", start_));
    }
}

void sidecar_log::log_cancel(const sidecar_output::cancel_stream& cancel)
{
    const bool again = unconfirmed_cancels_.count(cancel.engine_request) != 0;
    if (again) {
        log_event(event::cancel_repeated, field("holding", cancel.engine_request));
    }
    else if (cancel.call == call_number{}) {
        log_event(event::orphan_found, field("holding", cancel.engine_request));
    }
    if (unconfirmed_cancels_.size() < max_tracked_cancels) {
        unconfirmed_cancels_.insert(cancel.engine_request);
    }
}

} // namespace dragonflymill::sidecar
