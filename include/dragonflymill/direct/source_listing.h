#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/fleet_records.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// One page of a listing of all published records.
struct listing_page
{
    std::vector<fleet_record> records; ///< Ordered by key.
    std::uint64_t revision = 0;        ///< Newest revision at the source when it made the page.
    bool more = false;                 ///< Whether further keys follow the last one.

    friend auto operator==(const listing_page&, const listing_page&) -> bool = default;
};

/// A paged listing of all published records that survives failed calls.
///
/// When hundreds of gateways start at once and list about a thousand records each, the source's link is
/// saturated for seconds and calls time out. If each timeout restarted the listing from its first page, it
/// would never finish and would keep the link saturated: 300 gateways then served again only 7 s after all
/// had been killed.
class source_listing
{
public:
    /// Restarts from the first page.
    void restart();
    /// Adds the next page; returns the complete list after the last one.
    [[nodiscard]] auto take(listing_page page) -> std::optional<records_update>;
    /// Records a failed call for a page; the pages listed so far are kept. Pages are not a snapshot in any
    /// case: changes since the first page arrive as changes after its revision, or the source reports that
    /// they are no longer available.
    void failed();

    /// Key after which the next page begins; empty for the first page.
    [[nodiscard]] auto cursor() const -> const std::string& { return cursor_; }
    /// Timeout of the next call. It doubles after each failure, so that a page gets through a saturated link
    /// while an unresponsive path is still detected early.
    [[nodiscard]] auto call_timeout() const -> duration { return call_timeout_; }

    /// A page takes 4 ms, and 240 ms from a slow source.
    static constexpr duration initial_call_timeout = 700ms;
    /// Half of the time that a fleet may take to serve again after a restart of all gateways, less some
    /// pages.
    static constexpr duration max_call_timeout = 2800ms;

private:
    records_update listed_;
    std::string cursor_;
    duration call_timeout_ = initial_call_timeout;
    bool started_ = false;
};

} // namespace dragonflymill::direct
