#include "dragonflymill/lease/own_lease.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>

namespace dragonflymill {

own_lease::own_lease(instant now, own_lease_options options)
    : options_(options)
    , acts_from_(now + options.predecessor)
{
    DRAGONFLYMILL_ASSERT(options.predecessor > options.term, "a successor waits longer than a lease lasts");
}

void own_lease::confirmed(instant asked, incarnation holder)
{
    if (holder != options_.self) {
        superseded_ = true;
        return;
    }
    address_asked_ = std::max(asked, address_asked_.value_or(asked));
}

void own_lease::bundle_confirmed(instant asked)
{
    bundle_asked_ = std::max(asked, bundle_asked_.value_or(asked));
}

auto own_lease::until() const -> instant
{
    if (superseded_ || !address_asked_ || !bundle_asked_) {
        return instant::min();
    }
    return std::min(*address_asked_ + options_.term, *bundle_asked_ + options_.bundle_term);
}

auto own_lease::live(instant now) const -> bool
{
    return now >= acts_from_ && now < until();
}

} // namespace dragonflymill
