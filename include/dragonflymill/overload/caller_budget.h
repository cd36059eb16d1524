#pragma once

#include "dragonflymill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace dragonflymill {

/// What a process may spend on its callers.
struct caller_budget_limits
{
    std::size_t bytes = 0;       ///< Memory that all connections hold together.
    std::size_t connections = 0; ///< Open connections.

    friend auto operator==(const caller_budget_limits&, const caller_budget_limits&) -> bool = default;
};

/// What a connection is doing.
enum class caller_phase
{
    idle,       ///< Between requests.
    receiving,  ///< Part of a request has arrived.
    responding, ///< A complete request is being handled.
    flushing,   ///< Its response is complete, but the caller hasn't read all of it.
    closing,    ///< Its last response has been sent; what still arrives is discarded.
};

/// Why a connection has to give way.
enum class caller_eviction
{
    memory,      ///< What it holds is needed by others.
    connections, ///< Its place is needed by another connection.
};

/// Counts of what the budget has decided.
struct caller_budget_counts
{
    std::uint64_t evicted_for_memory = 0;      ///< Connections that had to give up what they held.
    std::uint64_t evicted_for_connections = 0; ///< Connections that had to give up their place.
    std::uint64_t claims_refused = 0;          ///< Claims for which there was no room.
    std::uint64_t connections_refused = 0;     ///< Connections for which there was no place.

    friend auto operator==(const caller_budget_counts&, const caller_budget_counts&) -> bool = default;
};

/// Owns the memory and the connections that a process spends on its callers.
///
/// Each buffer of a connection has a limit of its own, but the number of connections is the callers' choice.
/// Connections therefore claim memory here before they allocate it, as bytes arrive. When the budget is
/// spent, connections give way whose requests aren't complete, as these have not run and may be sent again:
/// first the one that has received least lately for what it holds and how long it has held it, so that
/// stalled requests go before moving ones and new ones go last. A complete request keeps what it holds. A
/// part of the memory is left to small requests, and large ones can't evict them.
///
/// Without I/O, locks and clock.
class caller_budget
{
public:
    using caller_id = std::uint64_t;
    /// Called when a connection must give way. Everything that the connection holds counts as released, and
    /// must be freed before the call returns. May call `release`, `close` and `set_phase` of the budget,
    /// and nothing else.
    using eviction_handler = std::function<void(caller_eviction)>;

    explicit caller_budget(caller_budget_limits limits)
        : limits_(limits)
    {
    }

    /// Changes the limits. What is held beyond them stays until it is released.
    void set_limits(caller_budget_limits limits) { limits_ = limits; }
    [[nodiscard]] auto limits() const -> const caller_budget_limits& { return limits_; }

    /// Adds a connection. When all places are taken, the connection that has been idle for longest gives way,
    /// or without an idle one the incomplete request with least progress, or else the response that has been
    /// unread for longest. Nothing: there is no place.
    [[nodiscard]] auto open(instant now, eviction_handler on_evicted) -> std::optional<caller_id>;
    /// Removes a connection and releases what it holds. Does nothing if it isn't known.
    void close(caller_id caller);

    /// Claims bytes for a connection; false if there is no room for them. The claim is refused if the
    /// connection would itself be the next one to give way.
    [[nodiscard]] auto claim(caller_id caller, std::size_t bytes, instant now) -> bool;
    /// Releases bytes of a connection; at most what it holds.
    void release(caller_id caller, std::size_t bytes);
    /// Releases all that a connection holds.
    void release_all(caller_id caller);
    /// Records bytes that a connection has received: the progress of its request.
    void received(caller_id caller, std::size_t bytes, instant now);
    /// Records what a connection does from now on.
    void set_phase(caller_id caller, caller_phase phase, instant now);

    /// Bytes that all connections hold.
    [[nodiscard]] auto held() const -> std::size_t { return held_; }
    /// Bytes that one connection holds.
    [[nodiscard]] auto held_by(caller_id caller) const -> std::size_t;
    /// Number of open connections.
    [[nodiscard]] auto connections() const -> std::size_t { return callers_.size(); }
    [[nodiscard]] auto counts() const -> const caller_budget_counts& { return counts_; }

    /// A connection that holds no more than this is small.
    static constexpr std::size_t small_bytes = 65'536;
    /// Divisor of the memory: this part of it can only be claimed by small connections.
    static constexpr std::size_t small_share = 8;
    /// Progress is what was received in the current interval of this length and the one before.
    static constexpr duration progress_interval = 1s;
    /// Added to the age of requests, so that size counts among those that arrive together.
    static constexpr duration min_age = 1ms;

private:
    struct record
    {
        eviction_handler on_evicted;
        std::size_t held = 0;
        caller_phase phase = caller_phase::idle;
        instant phase_began{};
        instant interval_began{};
        std::size_t received = 0;        // in the current interval
        std::size_t received_before = 0; // in the one before
    };
    using caller_map = std::map<caller_id, record>;

    static void advance_interval(record& which, instant now);
    [[nodiscard]] static auto progress(record& which, instant now) -> std::size_t;
    [[nodiscard]] auto next_for_memory(const record& claimant, std::size_t bytes, instant now)
        -> caller_map::iterator;
    [[nodiscard]] auto next_for_connection(instant now) -> caller_map::iterator;
    void evict(caller_map::iterator which, caller_eviction why);
    [[nodiscard]] auto fits(const record& which, std::size_t bytes) const -> bool;

    caller_budget_limits limits_;
    caller_map callers_; // in the order in which they were opened
    caller_id last_id_ = 0;
    std::size_t held_ = 0;
    caller_budget_counts counts_;
};

} // namespace dragonflymill
