#include "dragonflymill/direct/source_listing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflymill::direct {

void source_listing::restart()
{
    listed_ = {};
    cursor_.clear();
    begun_ = false;
}

auto source_listing::take(listing_page page) -> std::optional<records_update>
{
    if (!begun_) {
        // Pages aren't a snapshot: what changed while they were read comes after this revision.
        begun_ = true;
        listed_.as_of = page.revision;
        listed_.whole = true;
    }
    const bool goes_on = page.more && !page.records.empty();
    cursor_ = goes_on ? page.records.back().key : "";
    std::move(page.records.begin(), page.records.end(), std::back_inserter(listed_.records));
    call_limit_ = first_limit;
    if (goes_on) {
        return std::nullopt;
    }
    records_update whole = std::move(listed_);
    restart();
    return whole;
}

void source_listing::failed()
{
    call_limit_ = std::min(2 * call_limit_, longest_limit);
}

} // namespace dragonflymill::direct
