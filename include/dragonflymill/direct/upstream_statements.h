#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// A request of an upstream to send it nothing for some time, as stated in a response.
struct pushback_statement
{
    bool readable = true;           ///< Whether it could be decoded; otherwise it says nothing.
    std::optional<duration> length; ///< Counts from the response; nothing: the response states none.

    friend auto operator==(const pushback_statement&, const pushback_statement&) -> bool = default;
};

/// What a response states about the upstream that sent it.
struct upstream_statement
{
    rate_statement rate;         ///< Rate of calls that it accepts from all gateways together.
    pushback_statement pushback; ///< Binds only the gateway that receives the response.
    bool draining = false;       ///< Whether it is draining and accepts no new work.

    friend auto operator==(const upstream_statement&, const upstream_statement&) -> bool = default;
};

/// When a call was sent and its response received.
struct response_times
{
    instant sent_at{};
    instant received_at{};
    wall_instant sent_at_wall{}; ///< `sent_at` by the civil time of this host.

    friend auto operator==(const response_times&, const response_times&) -> bool = default;
};

/// What changed with a response.
struct statement_changes
{
    bool rate = false;     ///< The rate limit is another one, or none any more.
    bool pushback = false; ///< A pushback has begun or was extended.
    bool draining = false; ///< The upstream was not known to be draining.
    bool unwanted = false; ///< The call was sent although an earlier response had asked not to.

    friend auto operator==(const statement_changes&, const statement_changes&) -> bool = default;
};

/// Pushbacks and drains that upstreams state in their responses to this gateway.
///
/// Kept by the id of the upstream and apart from the published entries: an entry may vanish and return while
/// the registry is unavailable, and a drain may be stated before it is published or without being published.
class upstream_statements
{
public:
    /// Records what the response to a call says about `from`, as published when the call was sent. A pushback
    /// never shortens an earlier one.
    auto record(const upstream_entry& from, const upstream_statement& statement, const response_times& times)
        -> statement_changes;
    /// Removes the statements that are over; the numbers of upstreams count the others.
    void expire(instant now);

    /// Returns the end of the upstream's pushback; nothing if there is none.
    [[nodiscard]] auto pushback_until(const upstream_state& upstream, instant now) const
        -> std::optional<instant>;
    /// Returns whether the upstream has stated that it is draining.
    [[nodiscard]] auto draining(const upstream_state& upstream, instant now) const -> bool;
    /// Number of upstreams with a pushback.
    [[nodiscard]] auto pushbacks() const -> std::size_t { return pushbacks_.size(); }
    /// Number of upstreams that have stated that they are draining.
    [[nodiscard]] auto drains() const -> std::size_t { return drains_.size(); }

    /// Maximum length of a pushback. One call is sent after it, and its response extends the pushback or not.
    static constexpr duration max_pushback = 10min;
    /// Time after its last statement for which an upstream counts as draining. It exits within seconds to a
    /// minute; one that runs for longer is asked again.
    static constexpr duration max_drain = 10min;
    /// A statement ends with the run of the upstream that made it: once an entry is known that states a later
    /// start than the statement. The clocks of hosts differ, so it counts for this time after its receipt in
    /// any case.
    static constexpr duration min_notice_time = 3s;

private:
    /// A condition that an upstream has stated, and the run of the upstream that stated it.
    struct notice
    {
        std::int64_t started_ms = 0; // start of the run, as published when the call was sent
        std::int64_t sent_ms = 0;    // wall-clock time at which the call was sent whose response stated it
        instant since{};             // when it was stated first
        instant received_at{};       // when it was stated last
        instant until{};
    };
    using notices = std::unordered_map<std::string, notice>; // by upstream

    /// Returns whether an entry is that of a run which started after the condition was stated.
    [[nodiscard]] static auto is_of_later_run(const upstream_entry& entry, const notice& stated) -> bool;
    /// Returns whether the condition begins or lasts longer than known before.
    static auto extend(notices& known, const upstream_entry& from, instant until, const response_times& times)
        -> bool;
    [[nodiscard]] static auto find(const notices& known, const upstream_state& upstream, instant now)
        -> const notice*;
    /// Returns whether a condition was known here at a time.
    [[nodiscard]] static auto was_known(const notices& known, const upstream_entry& upstream, instant at)
        -> bool;

    notices pushbacks_;
    notices drains_;
};

} // namespace dragonflymill::direct
