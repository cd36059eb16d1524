#pragma once

#include "metrics/metric.h"
#include "metrics/metric_histogram.h"
#include "metrics/metric_labels.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill {

/// Name and description of a metric.
struct metric_name
{
    const char* name; ///< Name including the unit, such as `dragonflymill_first_token_seconds`.
    const char* help; ///< Help text; one line.
};

/// All metrics of a process. A series is created on first use and never removed; its reference stays valid
/// and should be kept, since a lookup takes a lock. Thread-safe.
class metrics_registry
{
public:
    /// Creates a registry of at most `most_series` series, which bounds its memory. Lookups of further series
    /// return a shared series that is not exported, and are counted in
    /// `dragonflymill_metric_series_refused_total`.
    explicit metrics_registry(std::size_t most_series = 4096);
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    auto operator=(const metrics_registry&) -> metrics_registry& = delete;

    /// The counter with this name and these labels.
    [[nodiscard]] auto counter(const metric_name& name, const metric_labels& labels = {}) -> metric_counter&;
    /// The gauge with this name and these labels.
    [[nodiscard]] auto gauge(const metric_name& name, const metric_labels& labels = {}) -> metric_gauge&;
    /// The histogram with this name and these labels; `layout` applies only when it is created.
    [[nodiscard]] auto histogram(const metric_name& name, const bucket_layout& layout,
                                 const metric_labels& labels = {}) -> metric_histogram&;

    /// Exports all series in the Prometheus text format.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
