#include "metrics/metrics_registry.h"

#include <cmath>
#include <criterion/criterion.h>
#include <limits>
#include <thread>

namespace dragonflymill {

namespace {

constexpr metric_name requests{"dragonflymill_requests_total", "requests by outcome"};
constexpr metric_name first_token{"dragonflymill_first_token_seconds", "time to the first token"};

auto has(const std::string& text, const std::string& line) -> bool
{
    return text.find(line + '\n') != std::string::npos;
}

} // namespace

Test(metrics_registry, exports_every_series_once)
{
    metrics_registry registry;
    registry.counter(requests, {{"outcome", "answered"}}).add(3);
    registry.counter(requests, {{"outcome", "answered"}}).add();
    registry.counter(requests, {{"outcome", "a \"b\"\n\\"}}).add();
    registry.gauge({"dragonflymill_in_flight", "requests in flight"}).add(-2);
    const std::string text = registry.prometheus_text();
    cr_assert(has(text, "# TYPE dragonflymill_requests_total counter"));
    cr_assert(has(text, "dragonflymill_requests_total{outcome=\"answered\"} 4"));
    cr_assert(has(text, "dragonflymill_requests_total{outcome=\"a \\\"b\\\"\\n\\\\\"} 1"), "%s",
              text.c_str());
    cr_assert(has(text, "dragonflymill_in_flight -2"));
}

Test(metrics_registry, histogram_buckets_are_cumulative)
{
    metrics_registry registry;
    auto& histogram = registry.histogram(first_token, {0.01, 10, 3}, {{"class", "bulk"}});
    for (const double value : {0.001, 0.05, 0.5, 0.5, 5.0, 500.0}) {
        histogram.record(value);
    }
    histogram.record(std::numeric_limits<double>::quiet_NaN());
    const std::string text = registry.prometheus_text();
    cr_assert(has(text, "dragonflymill_first_token_seconds_bucket{class=\"bulk\",le=\"0.01\"} 1"), "%s",
              text.c_str());
    cr_assert(has(text, "dragonflymill_first_token_seconds_bucket{class=\"bulk\",le=\"1\"} 4"));
    cr_assert(has(text, "dragonflymill_first_token_seconds_bucket{class=\"bulk\",le=\"+Inf\"} 6"));
    cr_assert(has(text, "dragonflymill_first_token_seconds_count{class=\"bulk\"} 6"));
    cr_assert(std::abs(histogram.sum() - 506.051) < 1e-9);
}

Test(metrics_registry, quantiles_are_accurate_to_one_bucket)
{
    metric_histogram histogram(second_buckets);
    cr_assert(histogram.quantile(0.5) == 0);
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(i / 1000.0);
    }
    const double bucket_factor = std::pow(10.0, 0.2);
    for (const double share : {0.5, 0.95, 0.99}) {
        const double measured = histogram.quantile(share);
        cr_assert(measured > share / bucket_factor && measured < share * bucket_factor, "%f at %f", measured,
                  share);
    }
}

Test(metrics_registry, concurrent_updates_are_not_lost)
{
    metrics_registry registry;
    constexpr unsigned each = 20'000;
    constexpr std::uint64_t both = std::uint64_t{2} * each;
    const auto work = [&registry] {
        auto& counter = registry.counter(requests);
        auto& histogram = registry.histogram(first_token, second_buckets);
        for (unsigned i = 0; i < each; ++i) {
            counter.add();
            histogram.record(0.25);
        }
    };
    std::thread one(work);
    std::thread two(work);
    one.join();
    two.join();
    cr_assert(registry.counter(requests).value() == both);
    cr_assert(registry.histogram(first_token, second_buckets).count() == both);
    cr_assert(registry.histogram(first_token, second_buckets).sum() == static_cast<double>(both) * 0.25);
}

Test(metrics_registry, number_of_series_is_bounded)
{
    metrics_registry registry(10);
    for (int i = 0; i < 1000; ++i) {
        registry.counter(requests, {{"request", std::to_string(i)}}).add();
    }
    const std::string text = registry.prometheus_text();
    cr_assert(has(text, "dragonflymill_metric_series_refused_total 990"), "%s", text.c_str());
    cr_assert(has(text, "dragonflymill_requests_total{request=\"9\"} 1"));
    cr_assert(text.find("request=\"10\"") == std::string::npos);
}

} // namespace dragonflymill
