#include "dragonflymill/admission/cold_sign_counter.h"

#include <cmath>

namespace dragonflymill {

cold_sign_counter::cold_sign_counter(cold_sign_options options)
    : options_(options)
{
}

auto cold_sign_counter::count(instant now, first_token_verdict verdict) -> bool
{
    const duration since = now - last_.value_or(now);
    last_ = now;
    warm_ *= std::exp2(-static_cast<double>(since.count()) / static_cast<double>(options_.half_life.count()));
    if (verdict == first_token_verdict::warm) {
        warm_ += 1;
        cold_ -= cold_ > 0 ? 1 : 0;
    }
    if (verdict != first_token_verdict::cold) {
        return false;
    }
    ++cold_;
    const bool sign = cold_ >= options_.min_cold_count && cold_ >= options_.share * warm_;
    if (sign) {
        reset();
    }
    return sign;
}

void cold_sign_counter::reset()
{
    cold_ = 0;
    warm_ = 0;
}

} // namespace dragonflymill
