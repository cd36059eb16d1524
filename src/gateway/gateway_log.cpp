#include "gateway/gateway_log.h"

#include "log/logger.h"

namespace dragonflymill::gateway {

namespace {

void log_attempt(const gateway_output::open_attempt& opened)
{
    const auto& spec = opened.spec;
    if (spec.attempt <= attempt_number(1)) {
        return;
    }
    const auto kind = spec.resume_offset > 0 ? event::request_resumed : event::request_retried;
    log_event(kind, field("request", spec.request), field("upstream", opened.upstream),
              field("attempt", spec.attempt), field("from_token", spec.resume_offset));
}

} // namespace

void gateway_log::log(const gateway_event& input) const
{
    if (const auto* completion = std::get_if<gateway_input::completion_arrived>(&input)) {
        log_event(event::request_accepted, field("request", completion->request),
                  field("account", completion->account), field("prompt_tokens", completion->prompt_tokens));
    }
    else if (const auto* service = std::get_if<gateway_input::service_arrived>(&input)) {
        log_event(event::request_accepted, field("request", service->spec.request),
                  field("account", service->spec.account), field("route", service->spec.route));
    }
    else if (const auto* disconnected = std::get_if<gateway_input::caller_left>(&input)) {
        log_event(event::caller_left, field("request", request_text(disconnected->exchange)));
    }
}

void gateway_log::log(const gateway_action& action) const
{
    if (const auto* opened = std::get_if<gateway_output::open_attempt>(&action)) {
        log_attempt(*opened);
    }
    else if (const auto* cancelled = std::get_if<gateway_output::cancel_attempt>(&action)) {
        log_event(event::request_cancelled, field("request", request_text(cancelled->key.exchange)));
    }
    else if (const auto* finished = std::get_if<gateway_output::finish>(&action)) {
        log_event(event::request_finished, field("request", request_text(finished->exchange)),
                  field("tokens", finished->tokens));
    }
    else if (const auto* released = std::get_if<release_share>(&action)) {
        log_event(event::gang_released, field("request", released->gang.request),
                  field("upstream", released->upstream));
    }
    else if (const auto* answered = std::get_if<gateway_output::answer_service>(&action)) {
        log_event(event::request_finished, field("request", request_text(answered->exchange)));
    }
}

auto gateway_log::request_text(exchange_number exchange) const -> std::string
{
    const auto found = exchanges_.find(exchange);
    return found == exchanges_.end() ? std::string() : found->second.request.text();
}

} // namespace dragonflymill::gateway
