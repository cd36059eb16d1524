#include "metrics/metrics_registry.h"

#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <string_view>

namespace dragonflymill {

namespace {

constexpr const char* refused_series_name = "dragonflymill_metric_series_refused_total";

auto number_text(double value) -> std::string
{
    if (std::isinf(value)) {
        return "+Inf";
    }
    constexpr int shown_digits = 6;
    std::array<char, 64> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::general,
                                   shown_digits);
    return {text.data(), end.ptr};
}

/// All series with the same name and type, by their labels.
template <typename Metric>
struct family
{
    std::string help;
    std::map<metric_labels, Metric> series;
};

template <typename Metric>
using families = std::map<std::string, family<Metric>, std::less<>>;

auto family_header(const std::string& name, const std::string& help, const char* type) -> std::string
{
    return "# HELP " + name + ' ' + help + "\n# TYPE " + name + ' ' + type + '\n';
}

template <typename Metric>
auto scalar_text(const families<Metric>& all, const char* type) -> std::string
{
    std::string text;
    for (const auto& [name, family] : all) {
        text += family_header(name, family.help, type);
        for (const auto& [labels, metric] : family.series) {
            text += name + to_text(labels) + ' ' + std::to_string(metric.value()) + '\n';
        }
    }
    return text;
}

auto histogram_text(const std::string& name, const metric_labels& labels, const metric_histogram& histogram)
    -> std::string
{
    std::string text;
    std::uint64_t count = 0;
    for (const cumulative_bucket& bucket : histogram.buckets()) {
        metric_labels with_edge = labels;
        with_edge.push_back({"le", number_text(bucket.upper)});
        text += name + "_bucket" + to_text(with_edge) + ' ' + std::to_string(bucket.count) + '\n';
        count = bucket.count;
    }
    text += name + "_sum" + to_text(labels) + ' ' + number_text(histogram.sum()) + '\n';
    text += name + "_count" + to_text(labels) + ' ' + std::to_string(count) + '\n';
    return text;
}

} // namespace

struct metrics_registry::state
{
    explicit state(std::size_t most)
        : most_series(most)
    {
    }

    /// Returns the series with these labels and creates it if needed; `overflow` if the registry is full.
    template <typename Metric, typename... Arguments>
    auto find(families<Metric>& all, const metric_name& name, const metric_labels& labels, Metric& overflow,
              const Arguments&... arguments) -> Metric&
    {
        const std::lock_guard lock(mutex);
        auto found = all.find(std::string_view(name.name));
        if (found != all.end()) {
            const auto series = found->second.series.find(labels);
            if (series != found->second.series.end()) {
                return series->second;
            }
        }
        if (series_count >= most_series) {
            refused.add();
            return overflow;
        }
        if (found == all.end()) {
            found = all.emplace(name.name, family<Metric>{name.help, {}}).first;
        }
        ++series_count;
        return found->second.series.try_emplace(labels, arguments...).first->second;
    }

    mutable std::mutex mutex;
    families<metric_counter> counters;
    families<metric_gauge> gauges;
    families<metric_histogram> histograms;
    std::size_t series_count = 0;
    std::size_t most_series;
    metric_counter refused;
    metric_counter overflow_counter;
    metric_gauge overflow_gauge;
    metric_histogram overflow_histogram{second_buckets};
};

metrics_registry::metrics_registry(std::size_t most_series)
    : state_(std::make_unique<state>(most_series))
{
}

metrics_registry::~metrics_registry() = default;

auto metrics_registry::counter(const metric_name& name, const metric_labels& labels) -> metric_counter&
{
    return state_->find(state_->counters, name, labels, state_->overflow_counter);
}

auto metrics_registry::gauge(const metric_name& name, const metric_labels& labels) -> metric_gauge&
{
    return state_->find(state_->gauges, name, labels, state_->overflow_gauge);
}

auto metrics_registry::histogram(const metric_name& name, const bucket_layout& layout,
                                 const metric_labels& labels) -> metric_histogram&
{
    return state_->find(state_->histograms, name, labels, state_->overflow_histogram, layout);
}

auto metrics_registry::prometheus_text() const -> std::string
{
    const std::lock_guard lock(state_->mutex);
    std::string text = scalar_text(state_->counters, "counter") + scalar_text(state_->gauges, "gauge");
    for (const auto& [name, family] : state_->histograms) {
        text += family_header(name, family.help, "histogram");
        for (const auto& [labels, histogram] : family.series) {
            text += histogram_text(name, labels, histogram);
        }
    }
    text += family_header(refused_series_name, "series not made because the registry was full", "counter");
    text += std::string(refused_series_name) + ' ' + std::to_string(state_->refused.value()) + '\n';
    return text;
}

} // namespace dragonflymill
