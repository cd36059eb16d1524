#include "dragonflymill/lease/own_lease.h"

#include "dragonflymill/core/assert.h"

#include <algorithm>

namespace dragonflymill {

own_lease::own_lease(instant now, own_lease_options options)
    : options_(options)
    , valid_from_(now + options.predecessor)
{
    DRAGONFLYMILL_ASSERT(options.predecessor > options.term,
                         "the wait for a predecessor must exceed the lease term");
}

void own_lease::confirmed(instant asked, incarnation holder)
{
    if (holder != options_.self) {
        superseded_ = true;
        return;
    }
    address_confirmed_ = std::max(asked, address_confirmed_.value_or(asked));
}

void own_lease::bundle_confirmed(instant asked)
{
    bundle_confirmed_ = std::max(asked, bundle_confirmed_.value_or(asked));
}

auto own_lease::until() const -> instant
{
    if (superseded_ || !address_confirmed_ || !bundle_confirmed_) {
        return instant::min();
    }
    return std::min(*address_confirmed_ + options_.term, *bundle_confirmed_ + options_.bundle_term);
}

auto own_lease::live(instant now) const -> bool
{
    return now >= valid_from_ && now < until();
}

} // namespace dragonflymill
