#pragma once

#include <compare>
#include <string>
#include <vector>

namespace dragonflymill {

/// A label of a time series, such as `class="bulk"`.
struct metric_label
{
    std::string name;  ///< Label name in snake_case.
    std::string value; ///< Label value; must have low cardinality, e.g. no request ids.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const metric_label&, const metric_label&) -> std::strong_ordering = default;
};

/// Labels of a time series, in output order.
using metric_labels = std::vector<metric_label>;

/// Formats labels in the Prometheus text format including braces; empty if there are none.
[[nodiscard]] auto to_text(const metric_labels& labels) -> std::string;

} // namespace dragonflymill
