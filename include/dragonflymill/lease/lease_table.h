#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymill {

/// Settings of a lease_table.
struct lease_table_options
{
    duration term = 5s;               ///< Time after which a lease expires unless it is renewed.
    duration adopt_grace = 10s;       ///< Time for owners to claim holdings found at the engine.
    duration pause_threshold = 1s;    ///< A longer gap between two calls counts as a pause of this process.
    duration initial_retry = 200ms;   ///< Delay after the first cancel.
    duration max_retry = 5s;          ///< Maximum delay between two cancels.
    std::size_t max_holdings = 8'192; ///< Maximum holdings, with pending cancels; more are refused.
    std::size_t max_adopted = 8'192;  ///< Maximum further holdings adopted from the engine's inventory.
    std::size_t max_cancels = 64;     ///< Maximum cancels returned by one tick.
};

/// Kind of a holding.
enum class holding_kind
{
    stream,        ///< Running completion.
    kv_pin,        ///< KV cache retained for a later turn.
    exported_span, ///< Span of KV cache exported to another engine.
    gang_share,    ///< Share of a prompt that is split over several engines.
};

/// Name of a holding at an engine. The engine's inventory distinguishes only streams and KV cache, so the
/// kind is not part of the name.
struct holding_name
{
    bool kv = false; ///< True for KV cache (freed by release), false for a stream (freed by cancel).
    std::string id;  ///< Name at the engine: of a request or a span.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const holding_name&, const holding_name&) -> std::strong_ordering = default;
};

/// A stream or KV cache entry at the engine, as declared by its owner or listed by the engine.
struct holding
{
    holding_name name;                        ///< Name at the engine.
    holding_kind kind = holding_kind::stream; ///< Kind of the holding.
    token_count size = 0;                     ///< Memory at the engine in tokens.

    friend auto operator==(const holding&, const holding&) -> bool = default;
};

/// Lease on a holding.
struct holding_lease
{
    lease_id lease; ///< Identifies the lease in later calls.
    instant until;  ///< Time of expiry unless renewed.

    friend auto operator==(const holding_lease&, const holding_lease&) -> bool = default;
};

/// Reason why a lease ended.
enum class lease_end
{
    not_renewed,    ///< The owner did not renew it.
    owner_gone,     ///< The owner is known to be dead.
    not_claimed,    ///< No owner claimed a holding found at the engine.
    engine_started, ///< The engine restarted and lost the holding.
    engine_dropped, ///< The engine no longer lists it.
};

/// A lease that ended without a release by its owner.
struct ended_lease
{
    lease_id lease;                         ///< The lease.
    process_id owner;                       ///< Owner; empty if the holding was never claimed.
    holding what;                           ///< The holding.
    lease_end why = lease_end::not_renewed; ///< Reason of the end.

    friend auto operator==(const ended_lease&, const ended_lease&) -> bool = default;
};

/// A cancel to send to the engine.
struct cancel_request
{
    holding_name what;            ///< Holding to free.
    std::uint32_t send_count = 1; ///< Number of sends, including this one.

    friend auto operator==(const cancel_request&, const cancel_request&) -> bool = default;
};

/// Actions requested by a tick.
struct lease_actions
{
    std::vector<cancel_request> cancels; ///< To send now; confirmed() reports the engine's confirmation.
    std::vector<ended_lease> ended;      ///< Ended leases, whose owners are to be notified.

    friend auto operator==(const lease_actions&, const lease_actions&) -> bool = default;
};

/// The engine's list of its holdings.
struct engine_inventory
{
    instant asked;             ///< Time of the query; holdings that began later may be missing.
    incarnation start;         ///< Incarnation of the engine.
    std::vector<holding> held; ///< Streams and KV cache entries.

    friend auto operator==(const engine_inventory&, const engine_inventory&) -> bool = default;
};

/// Table of the holdings of an engine; each has an owner and an expiry.
///
/// Guarded failure: a gateway dies, a cancel is lost or the sidecar is replaced, and the engine leaks memory.
/// Invariant: every holding known to be at the engine has an owner with a valid lease, or a pending cancel
/// that is repeated until the engine confirms it. A holding that the engine lists and the table doesn't know
/// is adopted for a grace period and then cancelled. Bounds: `max_holdings` (hold() is then refused, before
/// anything is sent to the engine) and `max_adopted` (the rest is adopted from a later inventory).
class lease_table
{
public:
    /// Creates an empty table. `seed` sets the jitter of repeated cancels.
    lease_table(lease_table_options options, std::uint64_t seed);

    /// Registers `owner` for a holding, before anything is sent to the engine. The same owner gets the same
    /// lease again, and an adopted holding is claimed by it. Fails with `conflict` if another owner has it or
    /// it is being cancelled, and with `limit_reached` at the bound.
    [[nodiscard]] auto hold(instant now, const process_id& owner, const holding& what)
        -> result<holding_lease>;
    /// Renews a lease for another term. Returns false if it has ended.
    [[nodiscard]] auto renew(instant now, lease_id lease) -> bool;
    /// Releases a holding: its cancel is repeated until the engine confirms it.
    void release(instant now, lease_id lease);
    /// Handles the engine's report that it no longer holds this, at a stream's end or as answer to a cancel.
    void confirmed(const holding_name& name);
    /// Ends all leases of a dead owner and cancels its holdings.
    void owner_gone(instant now, const process_id& owner);
    /// Compares the table with the engine's inventory.
    void reconcile(instant now, const engine_inventory& inventory);

    /// Expires leases and returns the cancels that are due. Must be called several times in each term.
    [[nodiscard]] auto tick(instant now) -> lease_actions;

    /// Returns the number of holdings without a pending cancel, including adopted ones.
    [[nodiscard]] auto owned() const -> std::size_t { return leases_.size() - cancelling_; }
    /// Returns the number of holdings whose cancel is not confirmed yet.
    [[nodiscard]] auto cancelling() const -> std::size_t { return cancelling_; }
    /// Returns the memory of all holdings in tokens.
    [[nodiscard]] auto tokens() const -> token_count { return tokens_; }
    /// Returns whether the table has the holding, with an owner or a pending cancel.
    [[nodiscard]] auto knows(const holding_name& name) const -> bool { return by_name_.count(name) > 0; }

private:
    enum class hold_state
    {
        owned,
        adopted,
        cancelling,
    };
    struct entry
    {
        holding what;
        process_id owner;
        hold_state state = hold_state::owned;
        instant began;
        instant due;
        std::uint32_t send_count = 0;
    };
    using entries = std::map<lease_id, entry>;

    auto add(instant now, const holding& what, const process_id& owner, hold_state state) -> lease_id;
    void set_due(lease_id lease, entry& held, instant due);
    void cancel(instant now, entries::iterator held);
    void end(instant now, entries::iterator held, lease_end why);
    void remove(entries::iterator held);
    void engine_restarted();
    void drop_unlisted(const engine_inventory& inventory);
    void adopt_unknown(instant now, const engine_inventory& inventory);
    void extend_leases_after_pause(instant now);
    [[nodiscard]] auto next_retry(std::uint32_t send_count) -> duration;

    lease_table_options options_;
    random_source random_;
    entries leases_;
    std::map<holding_name, lease_id> by_name_;
    std::set<std::pair<instant, lease_id>> due_;
    std::vector<ended_lease> ended_;
    std::size_t cancelling_ = 0;
    token_count tokens_ = 0;
    std::uint64_t next_lease_ = 1;
    std::optional<incarnation> engine_start_;
    std::optional<instant> last_inventory_;
    std::optional<instant> last_call_;
};

} // namespace dragonflymill
