#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>

namespace dragonflymill {

/// Time to the first token of a warm upstream as a line over prefill length.
struct first_token_line
{
    duration base{0};        ///< Time of a prompt with nothing to prefill.
    double us_per_token = 0; ///< Further microseconds for each token of prefill.

    friend auto operator==(const first_token_line&, const first_token_line&) -> bool = default;
};

/// How a first-token time compares with the line.
enum class first_token_verdict
{
    unjudged, ///< Too few measurements for a line so far.
    warm,     ///< As fast as the line says, within the noise.
    slow,     ///< Slower, but short of the cold sign.
    cold,     ///< Beyond the multiple that only a cold upstream shows.
};

/// Settings of a first_token_model.
struct first_token_options
{
    std::optional<first_token_line> expected; ///< Line of a warm upstream as operators measured it.
    double warm_multiple = 1.5;               ///< Up to this multiple of the line is noise.
    double cold_factor = 4.0;                 ///< From this multiple on it is a cold sign.
    duration slack = 50ms;                    ///< Added to both limits, so that short times don't misfire.
    std::uint32_t samples_needed = 16;        ///< Measurements before a line without expectation is trusted.
    duration relearn_after = 180s; ///< Cold signs for so long with nothing faster are the new normal.
};

/// Which measurements may move the line.
enum class first_token_learning
{
    every,       ///< The upstream is known to be warm.
    faster_only, ///< It is warming up: slow ones, and the fast side of the noise, would shift the line.
};

/// Learns how long a warm upstream takes to the first token, by prefill length, and judges new measurements
/// against it. The fit leans to the fast side (a slow measurement weighs little), so that the line follows at
/// once when the upstream gets faster and hardly moves for a burst of slow answers.
class first_token_model
{
public:
    /// Starts from the expected line, if there is one.
    explicit first_token_model(first_token_options options);

    /// Judges a first token after `elapsed`; `leniency` stretches the cold limit for low-priority classes.
    [[nodiscard]] auto judge(token_count prefill, duration elapsed, double leniency = 1.0) const
        -> first_token_verdict;
    /// How many times the line's time `elapsed` is; 1 while there is no line.
    [[nodiscard]] auto stretch(token_count prefill, duration elapsed) const -> double;
    /// Time from which a first token that has not come is a cold sign; nothing while there is no line.
    [[nodiscard]] auto overdue_after(token_count prefill, double leniency = 1.0) const
        -> std::optional<duration>;
    /// Takes a measurement in. One beyond the cold limit moves the line only when nothing faster came for
    /// `relearn_after`: else an upstream that stays slower for good would stay at the floor for ever.
    void learn(instant now, token_count prefill, duration elapsed, first_token_learning which);
    /// The settings.
    [[nodiscard]] auto options() const -> const first_token_options& { return options_; }
    /// Forgets the measurements, as after a change of model; the expected line stays.
    void forget();

    /// Whether there is a line to judge by: an expected one, or one learned from a warm upstream.
    [[nodiscard]] auto trusted() const -> bool;
    /// The line as it stands.
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
    bool expected_holds_ = false;
    std::optional<instant> cold_since_;
};

} // namespace dragonflymill
