#include "dragonflymill/direct/source_listing.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

auto page(const std::string& first, const std::string& last, std::uint64_t revision, bool more)
    -> listing_page
{
    return {{{first, "v", 1, false}, {last, "v", 2, false}}, revision, more};
}

} // namespace

// Guards against listings that never finish: 300 gateways start at once, the source's link is saturated and
// one call in three times out. If each timeout restarted the listing, the link would stay saturated.
Test(source_listing, keeps_listed_pages_after_a_failed_call)
{
    source_listing listing;
    cr_assert(!listing.take(page("a", "b", 10, true)));
    listing.failed();
    cr_assert(listing.cursor() == "b");
    const auto whole = listing.take(page("c", "d", 14, false));
    cr_assert(whole && whole->whole && whole->records.size() == 4);
    cr_assert(whole->as_of == 10, "changes since the first page are read later");
}

Test(source_listing, increases_the_call_timeout_after_failures_up_to_a_maximum)
{
    source_listing listing;
    cr_assert(listing.call_timeout() == source_listing::initial_call_timeout);
    for (int i = 0; i < 10; ++i) {
        listing.failed();
    }
    cr_assert(listing.call_timeout() == source_listing::max_call_timeout);
    (void)listing.take(page("a", "b", 10, true));
    cr_assert(listing.call_timeout() == source_listing::initial_call_timeout);
}

// After the source has lost its history, the pages listed before may contain records whose removal is no
// longer reported.
Test(source_listing, discards_listed_pages_on_restart)
{
    source_listing listing;
    (void)listing.take(page("a", "b", 10, true));
    listing.restart();
    cr_assert(listing.cursor().empty());
    const auto whole = listing.take(page("c", "d", 20, false));
    cr_assert(whole && whole->records.size() == 2 && whole->as_of == 20);
}

Test(source_listing, ends_a_listing_at_an_empty_page)
{
    source_listing listing;
    (void)listing.take(page("a", "b", 10, true));
    const auto whole = listing.take({{}, 11, true});
    cr_assert(whole && whole->records.size() == 2);
    cr_assert(listing.cursor().empty());
}

// Guards against a lost change: a stale page may come from an older state of the source than the page before
// it.
Test(source_listing, continues_from_the_revision_of_its_oldest_page)
{
    source_listing listing;
    (void)listing.take(page("a", "b", 10, true));
    (void)listing.take(page("c", "d", 7, true));
    const auto whole = listing.take(page("e", "f", 12, false));
    cr_assert(whole && whole->as_of == 7);
}
