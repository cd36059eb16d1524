#pragma once

#include "dragonflymill/admission/first_token_model.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <optional>

namespace dragonflymill {

/// Settings of a cold_sign_counter.
struct cold_sign_options
{
    std::uint32_t fewest = 3;   ///< Cold first tokens, less warm ones since, that make a sign.
    double share = 0.1;         ///< The same as a share of the warm ones of the last moment.
    duration half_life = 500ms; ///< Time in which a warm first token counts half.
};

/// Tells an upstream that has turned cold from the long tail of a healthy one: a few first tokens beyond the
/// cold limit among many quick ones are no sign, a few with none between them are.
class cold_sign_counter
{
public:
    /// Starts with nothing counted.
    explicit cold_sign_counter(cold_sign_options options);

    /// Counts a verdict; true when it completes a sign, and then all starts anew.
    [[nodiscard]] auto count(instant now, first_token_verdict verdict) -> bool;
    /// Forgets what was counted.
    void forget();

private:
    cold_sign_options options_;
    std::uint32_t cold_ = 0;
    double warm_ = 0;
    std::optional<instant> last_;
};

} // namespace dragonflymill
