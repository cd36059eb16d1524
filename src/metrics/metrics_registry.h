#pragma once

#include "metrics/metric.h"
#include "metrics/metric_histogram.h"
#include "metrics/metric_labels.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill {

/// What a metric is called and what it tells.
struct metric_name
{
    const char* name; ///< Name with unit, such as `dragonflymill_first_token_seconds`.
    const char* help; ///< What it tells; one line.
};

/// All metrics of a process. A series is made at its first use and stays: keep the reference rather than ask
/// again for each request. Callable from every thread.
class metrics_registry
{
public:
    /// Holds at most `most_series` series; further ones share one series that is not shown, and are counted
    /// in `dragonflymill_metric_series_refused_total`, so that labels can't fill the memory.
    explicit metrics_registry(std::size_t most_series = 4096);
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    auto operator=(const metrics_registry&) -> metrics_registry& = delete;

    /// The counter with this name and these labels.
    [[nodiscard]] auto counter(const metric_name& name, const metric_labels& labels = {}) -> metric_counter&;
    /// The gauge with this name and these labels.
    [[nodiscard]] auto gauge(const metric_name& name, const metric_labels& labels = {}) -> metric_gauge&;
    /// The histogram with this name and these labels; `layout` counts at its first use.
    [[nodiscard]] auto histogram(const metric_name& name, const bucket_layout& layout,
                                 const metric_labels& labels = {}) -> metric_histogram&;

    /// Everything in the Prometheus text format.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill
