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

// Three hundred gateways start at once, and the source's link is full: one call in three runs out of time.
// Each listing began again from its first page then, so that the link stayed full and nobody knew anything
// for seconds. What was listed is kept.
Test(source_listing, a_failed_call_does_not_begin_the_listing_anew)
{
    source_listing listing;
    cr_assert(!listing.take(page("a", "b", 10, true)));
    listing.failed();
    cr_assert(listing.cursor() == "b");
    const auto whole = listing.take(page("c", "d", 14, false));
    cr_assert(whole && whole->whole && whole->records.size() == 4);
    cr_assert(whole->as_of == 10, "changes since the first page are still to come");
}

Test(source_listing, calls_get_longer_after_failures_up_to_a_bound)
{
    source_listing listing;
    cr_assert(listing.call_timeout() == source_listing::first_limit);
    for (int i = 0; i < 10; ++i) {
        listing.failed();
    }
    cr_assert(listing.call_timeout() == source_listing::longest_limit);
    (void)listing.take(page("a", "b", 10, true));
    cr_assert(listing.call_timeout() == source_listing::first_limit);
}

// The source has forgotten its history: what was listed before may lack removals that nobody tells any more.
Test(source_listing, a_restart_forgets_what_was_listed)
{
    source_listing listing;
    (void)listing.take(page("a", "b", 10, true));
    listing.restart();
    cr_assert(listing.cursor().empty());
    const auto whole = listing.take(page("c", "d", 20, false));
    cr_assert(whole && whole->records.size() == 2 && whole->as_of == 20);
}

Test(source_listing, an_empty_page_ends_a_listing)
{
    source_listing listing;
    (void)listing.take(page("a", "b", 10, true));
    const auto whole = listing.take({{}, 11, true});
    cr_assert(whole && whole->records.size() == 2);
    cr_assert(listing.cursor().empty());
}
