#pragma once

#include <compare>
#include <string>
#include <vector>

namespace dragonflymill {

/// One label of a series, such as `class="bulk"`.
struct metric_label
{
    std::string name;  ///< Name, in snake_case.
    std::string value; ///< Value; from a small closed set, never a request's id.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const metric_label&, const metric_label&) -> std::strong_ordering = default;
};

/// The labels of a series, in the order given.
using metric_labels = std::vector<metric_label>;

/// Labels as the Prometheus text format writes them, braces included; nothing for no labels.
[[nodiscard]] auto to_text(const metric_labels& labels) -> std::string;

} // namespace dragonflymill
