#pragma once

#include "dragonflymill/direct/upstream_availability.h"
#include "edge/gateway_metrics.h"
#include "edge/header_names.h"
#include "edge/statement_reader.h"

#include <functional>
#include <string>

namespace dragonflymill::edge {

/// Records what upstreams state about themselves in responses of any kind, and logs what changes.
class statement_recorder
{
public:
    /// `announce_rate_limits` sends changed rate limits to the other gateways.
    statement_recorder(const statement_reader& read, const header_names& names,
                       direct::upstream_availability& availability, gateway_metrics& metrics,
                       std::function<void()> announce_rate_limits);

    /// Records the response to a call that was sent to `upstream` at `sent_at`; `request` is for the log.
    void record_response(const http::response_head& head, const direct::upstream_entry& upstream,
                         const std::string& request, instant sent_at, instant now);

    /// Records the response to an order. It need not state a rate limit, and the order may have belonged to a
    /// call that was sent earlier.
    void record_order_response(const http::response_head& head, const direct::upstream_entry& upstream,
                               const std::string& request, instant sent_at, instant now);

private:
    /// `is_complete`: whether the absence of a rate limit means that there is none.
    [[nodiscard]] auto record(direct::upstream_statement statement, bool is_complete,
                              const direct::upstream_entry& upstream, const std::string& request,
                              instant sent_at, instant now) -> direct::statement_changes;

    const statement_reader& read_;
    const header_names& names_;
    direct::upstream_availability& availability_;
    gateway_metrics& metrics_;
    std::function<void()> announce_rate_limits_;
};

/// Status of an upstream that isn't the one addressed; it hasn't run the request.
inline constexpr unsigned misdirected = 421;

} // namespace dragonflymill::edge
