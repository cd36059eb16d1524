#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>

namespace dragonflymill {

/// Time to first token of a warm upstream as a linear function of the prefill length.
struct first_token_line
{
    duration base{0};        ///< Time for an empty prefill.
    double us_per_token = 0; ///< Additional microseconds per token of prefill.

    friend auto operator==(const first_token_line&, const first_token_line&) -> bool = default;
};

/// Classification of a first-token time against the line.
enum class first_token_verdict
{
    unjudged, ///< There are too few measurements for a line.
    warm,     ///< Within the noise of the line.
    slow,     ///< Slower, but below the cold limit.
    cold,     ///< Beyond the cold limit, which only a cold upstream exceeds.
};

/// Settings of a first_token_model.
struct first_token_options
{
    std::optional<first_token_line> expected; ///< Line of a warm upstream as measured by operators.
    double warm_multiple = 1.5;               ///< Multiple of the line up to which a time is noise.
    double cold_factor = 4.0;                 ///< Multiple of the line beyond which a time is cold.
    duration slack = 50ms;             ///< Added to both limits, to avoid false positives at short times.
    std::uint32_t samples_needed = 16; ///< Measurements needed to trust a line that was not configured.
    duration relearn_after = 180s;     ///< Time of cold measurements alone after which the line is relearned.
};

/// Measurements that may change the line.
enum class first_token_learning
{
    every,       ///< All, since the upstream is known to be warm.
    faster_only, ///< Only clearly faster ones, since the times of a warming upstream would shift the line.
};

/// Learns the time to first token of a warm upstream by prefill length, and classifies new measurements
/// against it. The fit gives slow measurements a low weight, so that the line follows at once when the
/// upstream gets faster and hardly changes during a burst of slow answers.
class first_token_model
{
public:
    /// Starts from the configured line, if there is one.
    explicit first_token_model(first_token_options options);

    /// Classifies a first token that took `elapsed`; `leniency` multiplies the cold limit for low-priority
    /// classes.
    [[nodiscard]] auto judge(token_count prefill, duration elapsed, double leniency = 1.0) const
        -> first_token_verdict;
    /// Returns `elapsed` as a multiple of the line; 1 while there is no line.
    [[nodiscard]] auto slowdown(token_count prefill, duration elapsed) const -> double;
    /// Returns the wait after which a missing first token counts as cold; nothing while there is no line.
    [[nodiscard]] auto overdue_after(token_count prefill, double leniency = 1.0) const
        -> std::optional<duration>;
    /// Adds a measurement. Measurements beyond the cold limit are used only after `relearn_after` without a
    /// faster one. Without this rule an upstream that is permanently slower would stay at the floor.
    void learn(instant now, token_count prefill, duration elapsed, first_token_learning which);
    /// Returns the settings.
    [[nodiscard]] auto options() const -> const first_token_options& { return options_; }
    /// Drops the measurements, as after a change of model; the configured line stays.
    void reset();

    /// Returns whether there is a line to judge by, configured or learned from a warm upstream.
    [[nodiscard]] auto trusted() const -> bool;
    /// Returns the present line.
    [[nodiscard]] auto line() const -> first_token_line;

private:
    struct sums
    {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
    };

    void seed_expected();
    void add(double tokens, double us, double weight);
    void refit();
    [[nodiscard]] auto predicted_us(token_count prefill) const -> double;

    first_token_options options_;
    sums sums_;
    first_token_line line_;
    std::uint32_t samples_ = 0;
    bool uses_expected_line_ = false;
    std::optional<instant> cold_since_;
};

} // namespace dragonflymill
