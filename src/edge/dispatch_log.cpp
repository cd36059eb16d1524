#include "edge/dispatch_log.h"

#include "log/logger.h"

namespace dragonflymill::edge {

namespace {

/// Characters of the stated prompt parts that are logged.
constexpr std::size_t max_logged_parts = 240;

/// Ids of the additional prefill engines, separated by spaces.
auto prefill_engine_ids(const direct::dispatch_assignment& assignment) -> std::string
{
    std::string list;
    for (const direct::prefill_engine& engine : assignment.prefill_engines) {
        list.append(list.empty() ? "" : " ").append(engine.upstream.id);
    }
    return list;
}

} // namespace

auto logged_prompt_parts(std::string_view stated) -> std::string_view
{
    return stated.substr(0, max_logged_parts);
}

void log_dispatched(const direct::dispatch_assignment& assignment, const dispatch_details& details,
                    instant now)
{
    const direct::dispatch_choice& choice = assignment.choice;
    log_event(event::call_dispatched, field("request", details.request),
              field("fingerprint", details.fingerprint), field("attempt", details.attempt),
              field("upstream", assignment.upstream.id), field("helpers", prefill_engine_ids(assignment)),
              field("reason", choice.reason), field("waited_us", details.waited),
              field("waited_for", direct::to_string(assignment.waited_for)),
              field("forecast_us", choice.first_token), field("target_us", details.time_to_target),
              field("prompt_tokens", details.prompt_tokens), field("answer_tokens", details.answer_tokens),
              field("short_calls", choice.load.short_calls), field("long_calls", choice.load.long_calls),
              field("parts", choice.load.parts), field("memory_tokens", choice.load.memory_tokens),
              field("reading_us", choice.load.pending_prefill), field("slowdown", choice.condition.slowdown),
              field("view_us", details.view_age), field("config_version", details.config_version),
              field("fleet_revision", details.fleet_revision),
              field("prompt_parts", logged_prompt_parts(details.prompt_parts)));
    if (assignment.is_quarantine_trial) {
        log_event(event::quarantine_trial, field("request", details.request),
                  field("upstream", assignment.upstream.id),
                  field("prompt_parts", logged_prompt_parts(details.prompt_parts)));
    }
    if (assignment.rate_limit) {
        log_event(event::limited_call_dispatched, field("request", details.request),
                  field("attempt", details.attempt), field("upstream", assignment.upstream.id),
                  field("calls_per_s", assignment.rate_limit->calls_per_s.value_or(0.0)),
                  field("age_us", now - assignment.rate_limit->stated_at),
                  field("first_hand", assignment.rate_limit->first_hand),
                  field("calls", assignment.limited_calls));
    }
}

} // namespace dragonflymill::edge
