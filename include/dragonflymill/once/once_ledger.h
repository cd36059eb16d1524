#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/once/call_digest.h"
#include "dragonflymill/once/ticket.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Settings of a once_ledger.
struct once_ledger_options
{
    upstream_id upstream;                       ///< Upstream whose calls the ledger records.
    incarnation self;                           ///< This incarnation of the sidecar.
    instant started;                            ///< Start of the sidecar on its monotonic clock.
    wall_instant started_wall;                  ///< The same time on the wall clock.
    std::string ticket_key;                     ///< Key of the tickets' HMAC.
    std::size_t max_calls = 65'536;             ///< Maximum number of remembered calls.
    std::size_t max_bytes = 32 * 1'024 * 1'024; ///< Maximum size of remembered calls in bytes.
    std::size_t max_answer_bytes = 4'096;       ///< Larger answers are remembered without their body.
    duration submit_timeout = 30s;              ///< Time within which a ticket must be submitted.
    duration pause_threshold = 1s;    ///< A longer gap between two calls means that the process was paused.
    duration clock_skew = 5s;         ///< Maximum difference between the wall clocks of processes.
    duration predecessor_lease = 10s; ///< Maximum time for which a predecessor may still act.
};

/// Route and account that a call belongs to.
struct call_owner
{
    route_id route;                                   ///< Route of the plain service.
    client_account_id account;                        ///< Account of the caller.
    duration remember_for = std::chrono::minutes(10); ///< Time for which its outcome is remembered.

    friend auto operator==(const call_owner&, const call_owner&) -> bool = default;
};

/// Identifies a call by its ticket.
struct ticket_name
{
    std::string text; ///< Encoded ticket.

    friend auto operator==(const ticket_name&, const ticket_name&) -> bool = default;
};

/// Identifies a call by the caller's idempotency key.
struct key_name
{
    std::string key;     ///< Key as received from the caller.
    bool is_home = true; ///< Whether this upstream is the key's home in the bundle in force here.
    /// Time until which another upstream may have run it as its home (see key_home); nothing if none can
    /// have.
    std::optional<instant> other_home_until;

    friend auto operator==(const key_name&, const key_name&) -> bool = default;
};

/// A non-repeatable call.
struct once_call
{
    call_owner owner;                         ///< Route and account of the call.
    std::variant<ticket_name, key_name> name; ///< Identifies attempts of the same call.
    std::optional<call_digest> body; ///< Digest of method, target and body; unset for a status query.

    friend auto operator==(const once_call&, const once_call&) -> bool = default;
};

/// A remembered answer of a plain service.
struct once_answer
{
    int status = 0;           ///< HTTP status.
    std::string content_type; ///< Content type of the body.
    std::string body;         ///< The body; empty if it was too large to keep.
    bool body_kept = true;    ///< False if the body was too large to keep.

    friend auto operator==(const once_answer&, const once_answer&) -> bool = default;
};

/// Why it is unknown whether a call ran.
enum class unknown_reason
{
    other_incarnation, ///< The ticket belongs to another incarnation of the sidecar, which alone knows.
    broken,            ///< It was sent and no answer was received.
    forgotten,         ///< The time for which its outcome is remembered has passed.
    maybe_earlier,     ///< The key may have been submitted before this start, or at another home.
    not_home,          ///< The bundle in force here names another home; a gateway may retry there.
    no_lease,          ///< This sidecar holds no lease on its upstream: another may be acting for it.
};

/// A minted ticket.
struct once_minted
{
    std::string text;       ///< Encoded ticket for the caller.
    call_serial serial;     ///< Serial of the call.
    duration submit_within; ///< Time within which it must be submitted.

    friend auto operator==(const once_minted&, const once_minted&) -> bool = default;
};
/// The call is recorded, and this is the only attempt that may send it. Call sending() just before the first
/// byte.
struct once_run
{
    call_serial serial; ///< Identifies the call in sending() and later functions.

    friend auto operator==(const once_run&, const once_run&) -> bool = default;
};
/// Another attempt is running the call: wait for its answer.
struct once_join
{
    call_serial serial; ///< Serial of the running call.

    friend auto operator==(const once_join&, const once_join&) -> bool = default;
};
/// The call ran and was answered.
struct once_replay
{
    once_answer answer; ///< The remembered answer.

    friend auto operator==(const once_replay&, const once_replay&) -> bool = default;
};
/// It is unknown whether the call ran, and it is not run now.
struct once_unknown
{
    unknown_reason why = unknown_reason::maybe_earlier; ///< Reason.

    friend auto operator==(const once_unknown&, const once_unknown&) -> bool = default;
};
/// The call never ran and never will: its ticket or key is revoked.
struct once_not_run
{
    friend auto operator==(const once_not_run&, const once_not_run&) -> bool = default;
};
/// The call can still be submitted. Does not imply that it will not run.
struct once_pending
{
    friend auto operator==(const once_pending&, const once_pending&) -> bool = default;
};

/// Outcome of an attempt. A refusal (ran `no`) is returned only for a call that has provably not run so far;
/// nothing is recorded for it, and the same call may be retried. An error reports an invalid ticket
/// (`corrupt`, `unauthorized`) or a different body under the same ticket or key (`conflict`); nothing was run
/// for it.
using once_outcome =
    std::variant<once_run, once_join, once_replay, once_unknown, once_not_run, once_pending, refusal, error>;

/// Records every non-repeatable call in the only process that can send it. A call is sent at most once,
/// however often and through however many gateways it is submitted.
///
/// Invariants: sending() returns `true` at most once per ticket or key; once_not_run is returned only for a
/// call for which sending() never returned and never will return `true`. A ticket is run only by the
/// incarnation that minted it.
///
/// Bounds: `max_calls` and `max_bytes`, reserved including the answer when a ticket is minted or a key
/// recorded; when they are reached, both are refused with ran `no`. Entries are not evicted before they
/// expire.
class once_ledger
{
public:
    /// Creates the empty ledger of a sidecar that has just started.
    explicit once_ledger(once_ledger_options options);

    /// Mints a ticket; returns a refusal with ran `no` if the ledger is full.
    [[nodiscard]] auto mint(instant now, const call_owner& owner) -> std::variant<once_minted, refusal>;
    /// Returns what submit() would return, without recording anything; a once_run for a key that is not
    /// recorded has no serial. Called first, because a replay or join needs no permit of the upstream.
    [[nodiscard]] auto look(instant now, const once_call& call) -> once_outcome;
    /// Submits an attempt. After once_run the caller must call sending() and then answered() or broken(), or
    /// withdraw().
    [[nodiscard]] auto submit(instant now, const once_call& call) -> once_outcome;
    /// Must be called just before the first byte is sent, which is allowed only if this returns `true`.
    /// Returns `true` at most once per call.
    [[nodiscard]] auto sending(instant now, call_serial serial) -> bool;
    /// Revokes a call that will not be sent (no permit, no connection, time limit exceeded). Returns true if
    /// it was never sent, in which case ran `no` is correct.
    auto withdraw(instant now, call_serial serial) -> bool;
    /// Records the answer, also if it arrives after broken().
    void answered(instant now, call_serial serial, once_answer answer);
    /// Records that the call was sent and no answer is expected any more.
    void broken(instant now, call_serial serial);
    /// Revokes a call that has not run: returns once_not_run, or the call's current outcome.
    [[nodiscard]] auto revoke_call(instant now, const once_call& call) -> once_outcome;
    /// Returns the known outcome of a call; never records anything and never returns once_run.
    [[nodiscard]] auto status(instant now, const once_call& call) -> once_outcome;

    /// Sets the end of the sidecar's own lease on its upstream. Calls identified by key are run only until
    /// then, because a successor waits for the end of the lease (see docs/design/leases.md). Tickets need no
    /// lease.
    void renew_own_lease(instant until) { own_lease_ = until; }
    /// Time until which calls identified by key may be run; in the past if they may not.
    [[nodiscard]] auto own_lease() const -> instant { return own_lease_.value_or(instant::min()); }
    /// Records that a predecessor may have acted until `until`, because the sidecar's address was not bound
    /// before. Has no effect if the options give a later time.
    void extend_predecessor_lease(instant until) { exclusive_since_ = std::max(exclusive_since_, until); }
    /// Removes expired entries. Must be called more often than `pause_threshold`: time in which this process
    /// was paused does not count towards expiry, because retries sent meanwhile are still queued in its
    /// sockets.
    void tick(instant now);

    /// Number of remembered calls.
    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }
    /// Size of remembered calls in bytes, including reservations.
    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

private:
    enum class call_state
    {
        minted,
        recorded,
        sent,
        answered,
        broken,
        revoked,
    };
    struct entry
    {
        call_state state = call_state::minted;
        bool has_key = false;
        call_digest key;
        std::optional<call_digest> body;
        duration remember_for{0};
        instant expires_at;
        std::size_t bytes = 0;
        std::unique_ptr<once_answer> answer;
    };
    struct known_call
    {
        std::optional<call_serial> serial;
        std::optional<once_outcome> outcome;
    };
    using expiry_item = std::pair<instant, call_serial>;

    [[nodiscard]] auto find(instant now, const once_call& call) const -> known_call;
    [[nodiscard]] auto find_ticket(const once_call& call, const ticket_name& name) const -> known_call;
    [[nodiscard]] auto find_key(instant now, const once_call& call, const key_name& name) const -> known_call;
    [[nodiscard]] static auto outcome_of(call_serial serial, const entry& stored, const once_call& call)
        -> std::optional<once_outcome>;
    [[nodiscard]] auto provably_first(instant now, const call_owner& owner, const key_name& name) const
        -> bool;
    [[nodiscard]] static auto key_digest(const once_call& call) -> call_digest;
    [[nodiscard]] auto may_run_keys(instant now) const -> bool;
    [[nodiscard]] auto full() const -> bool;
    [[nodiscard]] auto refuse_full(instant now) const -> refusal;
    [[nodiscard]] auto add(duration remember_for) -> call_serial;
    auto record(const once_call& call, std::optional<call_serial> serial) -> call_serial;
    void set_bytes(entry& stored, std::size_t bytes);
    void set_expiry(call_serial serial, entry& stored, instant expires_at);
    void settle(instant now, call_serial serial, entry& stored, call_state state);
    void erase_call(call_serial serial);
    void account_for_process_pause(instant now);
    [[nodiscard]] auto active_time(instant now) const -> instant { return now - paused_time_; }

    once_ledger_options options_;
    ticket_codec codec_;
    std::unordered_map<call_serial, entry> calls_;
    std::unordered_map<call_digest, call_serial, call_digest_hash> keys_;
    std::priority_queue<expiry_item, std::vector<expiry_item>, std::greater<>> expiry_queue_;
    std::size_t bytes_ = 0;
    std::uint64_t next_serial_ = 1;
    std::optional<instant> own_lease_;
    instant exclusive_since_;
    std::optional<instant> last_call_;
    duration paused_time_{0};
};

} // namespace dragonflymill
