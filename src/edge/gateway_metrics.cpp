#include "edge/gateway_metrics.h"

namespace dragonflymill::edge {

gateway_metrics::gateway_metrics()
    : registry_(std::make_unique<metrics_registry>())
    , requests(registry_->counter({"dragonflymill_requests_total", "Requests read from callers"}))
    , turned_away(registry_->counter({"dragonflymill_connections_turned_away_total",
                                      "Callers' connections closed unread, as the gateway was behind"}))
    , caller_memory(registry_->gauge({"dragonflymill_caller_memory_bytes", "Memory held for callers"}))
    , caller_connections(
          registry_->gauge({"dragonflymill_caller_connections", "Open connections of callers"}))
    , evicted_for_memory(registry_->counter({"dragonflymill_callers_evicted_for_memory_total",
                                             "Connections whose memory was needed by others"}))
    , evicted_for_connections(registry_->counter({"dragonflymill_callers_evicted_for_connections_total",
                                                  "Connections closed to make place for others"}))
    , refused_for_memory(registry_->counter({"dragonflymill_caller_claims_refused_total",
                                             "Requests and responses for which there was no memory"}))
    , refused_connections(
          registry_->counter({"dragonflymill_caller_connections_refused_total",
                              "Connections closed at once, as all others had calls under way"}))
    , answered(registry_->counter({"dragonflymill_answers_total", "Answers passed on whole"}))
    , refused(registry_->counter(
          {"dragonflymill_refusals_total", "Answers of this gateway's own that say \"not run\""}))
    , failed(registry_->counter({"dragonflymill_own_failures_total", "Other answers of this gateway's own"}))
    , aborted(registry_->counter({"dragonflymill_cut_answers_total", "Answers broken off"}))
    , caller_disconnects(registry_->counter({"dragonflymill_callers_left_total", "Callers that left early"}))
    , attempts(registry_->counter({"dragonflymill_attempts_total", "Requests sent to upstreams"}))
    , attempts_failed(registry_->counter(
          {"dragonflymill_failed_attempts_total", "Of these, the ones without an answer to pass on"}))
    , events(registry_->counter({"dragonflymill_events_total", "Stream events passed on"}))
    , malformed_responses(
          registry_->counter({"dragonflymill_malformed_responses_total",
                              "Upstreams' responses with bytes that are no part of a valid one"}))
    , repeated_events(registry_->counter(
          {"dragonflymill_repeated_events_total", "Stream events that were sent again and not passed on"}))
    , unusable_records(registry_->counter(
          {"dragonflymill_unusable_records_total", "Published records that could not be used"}))
    , waiting(registry_->gauge({"dragonflymill_waiting_requests", "Requests that wait for an upstream"}))
    , config_version(registry_->gauge({"dragonflymill_config_version", "Configuration in force"}))
    , gateways(
          registry_->gauge({"dragonflymill_gateways_known", "Gateways of the cell known, this one included"}))
    , cells(registry_->gauge({"dragonflymill_cells", "Cells into which the fleet is divided"}))
    , limited_upstreams(registry_->gauge(
          {"dragonflymill_rate_limited_upstreams", "Upstreams that state a rate limit for all gateways"}))
    , oldest_limit_age(registry_->gauge({"dragonflymill_oldest_rate_limit_age_seconds",
                                         "Seconds since the oldest of these limits was last stated"}))
    , pushback_upstreams(registry_->gauge(
          {"dragonflymill_pushback_upstreams", "Upstreams that want nothing from this gateway for a time"}))
    , draining_upstreams(registry_->gauge(
          {"dragonflymill_upstreams_stating_drain", "Upstreams that said in an answer that they drain"}))
    , unwanted_calls(registry_->counter(
          {"dragonflymill_unwanted_calls_total", "Requests sent to upstreams in one of these two states"}))
    , withheld_calls(
          registry_->counter({"dragonflymill_withheld_calls_total",
                              "Requests that were not sent to their upstream, as one of these began"}))
    , slow_upstreams(registry_->gauge(
          {"dragonflymill_slow_upstreams", "Upstreams believed to run slower than their profile"}))
    , quarantines(registry_->gauge({"dragonflymill_quarantines",
                                    "Sets of prompt parts that aren't sent, as upstreams crash under them"}))
    , reports_asked(registry_->counter(
          {"dragonflymill_upstream_reports_asked_total", "Upstreams asked for a report on their state"}))
    , reports_failed(registry_->counter({"dragonflymill_upstream_reports_failed_total",
                                         "Of these, the ones without a report that could be read"}))
    , time_to_first_event(registry_->histogram({"dragonflymill_first_answer_seconds",
                                                "Seconds from arrival to the first byte of an answer's body"},
                                               second_buckets))
    , response_time(registry_->histogram(
          {"dragonflymill_whole_answer_seconds", "Seconds from arrival to the end of an answer"},
          second_buckets))
    , forecast_error(registry_->histogram(
          {"dragonflymill_first_token_forecast_error_seconds",
           "Seconds by which a first token came later or earlier than predicted when it was sent"},
          second_buckets))
    , late_first_tokens(registry_->counter(
          {"dragonflymill_late_first_tokens_total", "First tokens of prompts that missed their target"}))
    , late_first_tokens_foreseen(
          registry_->counter({"dragonflymill_late_first_tokens_foreseen_total",
                              "Of these, the ones that were predicted to miss it when they were sent"}))
    , false_late_forecasts(
          registry_->counter({"dragonflymill_false_late_forecasts_total",
                              "First tokens on time that were predicted to miss their target"}))
{
}

auto gateway_metrics::dispatch_refusals(const std::string& reason) -> metric_counter&
{
    return registry_->counter({"dragonflymill_dispatch_refusals_total", "Waiting requests that were refused"},
                              {{"reason", reason}});
}

void gateway_metrics::record(const direct::forecast_outcome& outcome)
{
    forecast_error.record(std::chrono::duration<double>(std::chrono::abs(outcome.error())).count());
    if (outcome.late) {
        late_first_tokens.add();
    }
    if (outcome.foreseen_late) {
        (outcome.late ? late_first_tokens_foreseen : false_late_forecasts).add();
    }
}

} // namespace dragonflymill::edge
