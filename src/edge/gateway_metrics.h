#pragma once

#include "dragonflymill/core/time.h"
#include "metrics/metrics_registry.h"

#include <memory>
#include <string>

namespace dragonflymill::edge {

/// Counters and histograms of a direct gateway.
class gateway_metrics
{
public:
    gateway_metrics();

    /// Everything in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string { return registry_->prometheus_text(); }

private:
    std::unique_ptr<metrics_registry> registry_;

public:
    metric_counter& requests;        ///< Requests read from callers.
    metric_counter& answered;        ///< Answers passed on whole.
    metric_counter& refused;         ///< Answers of this gateway's own that say "not run".
    metric_counter& failed;          ///< Other answers of this gateway's own.
    metric_counter& cut;             ///< Answers broken off.
    metric_counter& left;            ///< Callers that left early.
    metric_counter& attempts;        ///< Requests sent to upstreams.
    metric_counter& attempts_failed; ///< Of these, the ones without an answer to pass on.
    metric_counter& events;          ///< Stream events passed on.
    metric_gauge& waiting;           ///< Requests that wait for an upstream.
    metric_gauge& config_version;    ///< Configuration in force.
    metric_gauge& gateways;          ///< Gateways known, this one included.
    metric_histogram& first_answer;  ///< Seconds from arrival to the first byte of an answer's body.
    metric_histogram& whole_answer;  ///< Seconds from arrival to the end of an answer.
};

} // namespace dragonflymill::edge
