#include "edge/statement_recorder.h"

#include "log/logger.h"
#include "runtime/clock.h"

#include <utility>

namespace dragonflymill::edge {

statement_recorder::statement_recorder(const statement_reader& read, const header_names& names,
                                       direct::upstream_availability& availability, gateway_metrics& metrics,
                                       std::function<void()> announce_rate_limits)
    : read_(read)
    , names_(names)
    , availability_(availability)
    , metrics_(metrics)
    , announce_rate_limits_(std::move(announce_rate_limits))
{
}

void statement_recorder::record_response(const http::response_head& head,
                                         const direct::upstream_entry& upstream, const std::string& request,
                                         instant sent_at, instant now)
{
    if (head.status == misdirected) {
        // The response of another upstream.
        return;
    }
    // A rejection may come from a part of the upstream that doesn't know its rate limit.
    const bool is_rejection = !head.value_of(names_.not_run).empty();
    const auto changes = record(read_(head), !is_rejection, upstream, request, sent_at, now);
    if (changes.unwanted) {
        metrics_.unwanted_calls.add();
        log_event(event::unwanted_call_sent, field("request", request), field("upstream", upstream.id),
                  field("after_us", now - sent_at));
    }
}

void statement_recorder::record_order_response(const http::response_head& head,
                                               const direct::upstream_entry& upstream,
                                               const std::string& request, instant sent_at, instant now)
{
    if (head.status != misdirected) {
        (void)record(read_(head), false, upstream, request, sent_at, now);
    }
}

auto statement_recorder::record(direct::upstream_statement statement, bool is_complete,
                                const direct::upstream_entry& upstream, const std::string& request,
                                instant sent_at, instant now) -> direct::statement_changes
{
    if (!is_complete && !statement.rate.calls_per_s) {
        statement.rate.readable = false;
    }
    const wall_instant sent_at_wall = runtime::wall_now() - (now - sent_at);
    const auto changes = availability_.record(upstream, statement, {sent_at, now, sent_at_wall});
    if (changes.pushback || !statement.pushback.readable) {
        log_event(event::upstream_pushback, field("request", request), field("upstream", upstream.id),
                  field("readable", statement.pushback.readable),
                  field("pushback_us", statement.pushback.length.value_or(duration::zero())));
    }
    if (changes.draining) {
        log_event(event::upstream_states_draining, field("request", request), field("upstream", upstream.id));
    }
    if (changes.rate) {
        log_event(event::upstream_limit_changed, field("upstream", upstream.id),
                  field("limited", statement.rate.calls_per_s.has_value()),
                  field("calls_per_s", statement.rate.calls_per_s.value_or(0.0)),
                  field("age_us", duration::zero()), field("from", "answer"));
        announce_rate_limits_();
    }
    return changes;
}

} // namespace dragonflymill::edge
