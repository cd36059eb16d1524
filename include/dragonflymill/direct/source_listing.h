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
    std::vector<fleet_record> records; ///< In the order of their keys.
    std::uint64_t revision = 0;        ///< Newest change that the source knew when it made the page.
    bool more = false;                 ///< Whether keys follow after the last one.

    friend auto operator==(const listing_page&, const listing_page&) -> bool = default;
};

/// A listing of all published records, page by page, over calls that may fail.
///
/// Load that it answers: hundreds of gateways start at once and list some thousand records each. The
/// source's link is then full for seconds and calls run out of time; a listing that began again from its
/// first page after each of them never came to its end and kept the link full (300 gateways served again
/// only 7 s after all had been killed).
class source_listing
{
public:
    /// Begins anew from the first page.
    void restart();
    /// Takes the next page; the whole list after the last one.
    [[nodiscard]] auto take(listing_page page) -> std::optional<records_update>;
    /// A call for a page failed: what was listed is kept. Pages are no snapshot in any case; what changed
    /// since the first one comes with the changes after its revision, or the source says that they are gone.
    void failed();

    /// The next page begins after this key; empty: at the first one.
    [[nodiscard]] auto cursor() const -> const std::string& { return cursor_; }
    /// How long the next call may take: twice as long after each failure, so that a page gets through a full
    /// link, and a path that has gone silent is still given up soon.
    [[nodiscard]] auto call_timeout() const -> duration { return call_limit_; }

    /// A page takes 4 ms, and 240 ms from a slow source.
    static constexpr duration first_limit = 700ms;
    /// Half of what a fleet may take to serve again after a restart of all, less some pages.
    static constexpr duration longest_limit = 2800ms;

private:
    records_update listed_;
    std::string cursor_;
    duration call_limit_ = first_limit;
    bool begun_ = false;
};

} // namespace dragonflymill::direct
