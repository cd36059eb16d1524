#pragma once

#include "dragonflymill/admission/first_token_model.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>

namespace dragonflymill {

/// Settings of a cold_sign_counter.
struct cold_sign_options
{
    std::uint32_t min_cold_count = 3; ///< Minimum cold first tokens, less later warm ones, for a cold sign.
    double share = 0.1;         ///< Minimum ratio of cold first tokens to the decayed count of warm ones.
    duration half_life = 500ms; ///< Half-life of the count of warm first tokens.
};

/// Distinguishes an upstream that has turned cold from the tail latency of a healthy one: a few first tokens
/// beyond the cold limit are a cold sign only if there are few fast ones among them.
class cold_sign_counter
{
public:
    /// Creates a counter at zero.
    explicit cold_sign_counter(cold_sign_options options);

    /// Counts a verdict. Returns true if it completes a cold sign, and then resets the counter.
    [[nodiscard]] auto count(instant now, first_token_verdict verdict) -> bool;
    /// Resets the counter to zero.
    void reset();

private:
    cold_sign_options options_;
    std::uint32_t cold_ = 0;
    double warm_ = 0;
    std::optional<instant> last_;
};

} // namespace dragonflymill
