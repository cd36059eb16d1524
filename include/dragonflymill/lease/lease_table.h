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
    duration term = 5s;               ///< Time after which a lease that was not renewed ends.
    duration adopt_grace = 10s;       ///< Time for an owner to claim what a successor finds at the engine.
    duration pause_threshold = 1s;    ///< A gap between two calls that tells this process was paused.
    duration first_retry = 200ms;     ///< Wait after the first cancel.
    duration longest_retry = 5s;      ///< Longest wait between two cancels.
    std::size_t max_holdings = 8'192; ///< Holdings with an owner or a pending cancel; more are refused.
    std::size_t max_adopted = 8'192;  ///< Further holdings taken over from the engine's inventory.
    std::size_t max_cancels = 64;     ///< Cancels handed out by one tick.
};

/// What kind of thing an engine holds.
enum class holding_kind
{
    stream,        ///< A running completion.
    kv_pin,        ///< KV cache kept for a later turn.
    exported_span, ///< A span of KV cache exported for another engine.
    gang_share,    ///< A share of a prompt that several engines hold together.
};

/// Name of one thing that an engine holds. The engine's inventory tells only streams from KV cache, so the
/// kind is not part of what tells two holdings apart.
struct holding_name
{
    bool kv = false; ///< Whether it is KV cache (freed by release) or a stream (freed by cancel).
    std::string id;  ///< The engine's name for it: a request or a span.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const holding_name&, const holding_name&) -> std::strong_ordering = default;
};

/// One thing at the engine, as its owner declares it or the engine lists it.
struct holding
{
    holding_name name;                        ///< Its name.
    holding_kind kind = holding_kind::stream; ///< Its kind.
    token_count size = 0;                     ///< Tokens of the engine's memory.

    friend auto operator==(const holding&, const holding&) -> bool = default;
};

/// A lease on one holding.
struct holding_lease
{
    lease_id lease; ///< Names it in later calls.
    instant until;  ///< When it ends unless it is renewed.

    friend auto operator==(const holding_lease&, const holding_lease&) -> bool = default;
};

/// Why a lease ended.
enum class lease_end
{
    not_renewed,    ///< Its owner did not renew it.
    owner_gone,     ///< Its owner is known to be gone.
    not_claimed,    ///< Found at the engine, and nobody claimed it.
    engine_started, ///< The engine started anew and holds nothing of it.
    engine_dropped, ///< The engine no longer lists it.
};

/// A lease that ended without its owner's word.
struct ended_lease
{
    lease_id lease;                         ///< The lease.
    process_id owner;                       ///< Its owner; empty if nobody had claimed it.
    holding what;                           ///< What it was on.
    lease_end why = lease_end::not_renewed; ///< Why it ended.

    friend auto operator==(const ended_lease&, const ended_lease&) -> bool = default;
};

/// A cancel to send to the engine now.
struct cancel_request
{
    holding_name what;       ///< What to free.
    std::uint32_t tries = 1; ///< How often it has been sent with this one.

    friend auto operator==(const cancel_request&, const cancel_request&) -> bool = default;
};

/// What a tick leads to.
struct lease_actions
{
    std::vector<cancel_request>
        cancels;                    ///< To send now; confirmed() when the engine says it holds it no more.
    std::vector<ended_lease> ended; ///< Owners to tell.

    friend auto operator==(const lease_actions&, const lease_actions&) -> bool = default;
};

/// The engine's word about what it holds.
struct engine_inventory
{
    instant asked;             ///< When it was asked, so that what began later is not missed.
    incarnation start;         ///< Number of the engine's present start.
    std::vector<holding> held; ///< What it holds.

    friend auto operator==(const engine_inventory&, const engine_inventory&) -> bool = default;
};

/// Everything that is held at an engine, each thing with an owner and an end.
///
/// Guarded failure: a gateway dies, a cancel is lost, or the sidecar itself is replaced, and the engine keeps
/// memory that nobody will ever free. Invariant: everything known to be at the engine has an owner whose
/// lease runs, or a pending cancel that is repeated until the engine confirms; what the engine lists and
/// nobody here knows gets a time of grace and then a cancel. Bounds: `max_holdings` (hold() is then refused,
/// before anything is put to the engine) and `max_adopted` (the rest is taken over by a later inventory, when
/// there is room).
class lease_table
{
public:
    /// An empty table. `seed` spreads the cancels' repeats.
    lease_table(lease_table_options options, std::uint64_t seed);

    /// Before anything is put to the engine: `owner` will hold it. The same owner gets the same lease again;
    /// a holding found at the engine is claimed by it. `conflict` if another has it or it is being cancelled.
    [[nodiscard]] auto hold(instant now, const process_id& owner, const holding& what)
        -> result<holding_lease>;
    /// The owner still wants it; false if the lease has ended.
    [[nodiscard]] auto renew(instant now, lease_id lease) -> bool;
    /// The owner wants it no more: cancelled until the engine confirms.
    void release(instant now, lease_id lease);
    /// The engine itself said that it holds this no more: a stream's end, or the answer to a cancel.
    void confirmed(const holding_name& name);
    /// The owner is gone: all that it holds is cancelled.
    void owner_gone(instant now, const process_id& owner);
    /// Compares with what the engine says it holds.
    void reconcile(instant now, const engine_inventory& inventory);

    /// Ends what is over and hands out the cancels that are due. To be called a few times in each term.
    [[nodiscard]] auto tick(instant now) -> lease_actions;

    /// Holdings with an owner, adopted ones included.
    [[nodiscard]] auto owned() const -> std::size_t { return leases_.size() - cancelling_; }
    /// Holdings whose cancel is not confirmed yet.
    [[nodiscard]] auto cancelling() const -> std::size_t { return cancelling_; }
    /// Tokens of all of them.
    [[nodiscard]] auto tokens() const -> token_count { return tokens_; }
    /// Whether it is known here, with an owner or a pending cancel.
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
        std::uint32_t tries = 0;
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
    void excuse_own_pause(instant now);
    [[nodiscard]] auto next_retry(std::uint32_t tries) -> duration;

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
