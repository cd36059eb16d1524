#include "dragonflymill/direct/source_listing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflymill::direct {

void source_listing::restart()
{
    listed_ = {};
    cursor_.clear();
    started_ = false;
}

auto source_listing::take(listing_page page) -> std::optional<records_update>
{
    if (!started_) {
        started_ = true;
        listed_.as_of = page.revision;
        listed_.whole = true;
    }
    // Pages are not a snapshot, and a stale one may be older than the one before it: what the oldest page
    // lacks arrives as changes after its revision.
    listed_.as_of = std::min(listed_.as_of, page.revision);
    const bool has_more = page.more && !page.records.empty();
    cursor_ = has_more ? page.records.back().key : "";
    std::move(page.records.begin(), page.records.end(), std::back_inserter(listed_.records));
    call_timeout_ = initial_call_timeout;
    if (has_more) {
        return std::nullopt;
    }
    records_update whole = std::move(listed_);
    restart();
    return whole;
}

void source_listing::failed()
{
    call_timeout_ = std::min(2 * call_timeout_, max_call_timeout);
}

} // namespace dragonflymill::direct
