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
    upstream_id upstream;                       ///< The upstream that the ledger stands before.
    incarnation self;                           ///< This start of the sidecar.
    instant started;                            ///< When it started, on its own clock.
    wall_instant started_wall;                  ///< The same moment in civil time.
    std::string ticket_key;                     ///< Key of the tickets' seal.
    std::size_t max_calls = 65'536;             ///< Calls remembered at most.
    std::size_t max_bytes = 32 * 1'024 * 1'024; ///< Bytes remembered at most.
    std::size_t max_answer_bytes = 4'096;       ///< Longer answers are remembered without their body.
    duration submit_term = 30s;                 ///< Time in which a ticket can be submitted.
    duration pause_threshold = 1s;              ///< A gap between two calls that tells of an own pause.
    duration clock_skew = 5s;                   ///< Bound on the error between civil clocks.
    duration predecessor_lease = 10s;           ///< Longest time for which a predecessor may still act.
};

/// Whose call it is.
struct call_owner
{
    route_id route;                                   ///< The plain service's route.
    client_account_id account;                        ///< The caller's account.
    duration remember_for = std::chrono::minutes(10); ///< How long its outcome is remembered.

    friend auto operator==(const call_owner&, const call_owner&) -> bool = default;
};

/// A call named by a ticket.
struct ticket_name
{
    std::string text; ///< The ticket as text.

    friend auto operator==(const ticket_name&, const ticket_name&) -> bool = default;
};

/// A call named by the caller's own idempotency key.
struct key_name
{
    std::string key;     ///< The key as the caller gave it.
    bool is_home = true; ///< Whether the bundle in force here makes this upstream the key's home.
    /// Until when another upstream may have run it as its home (see key_home); nothing if none can have.
    std::optional<instant> other_home_until;

    friend auto operator==(const key_name&, const key_name&) -> bool = default;
};

/// A call that may not be repeated.
struct once_call
{
    call_owner owner;                         ///< Whose it is.
    std::variant<ticket_name, key_name> name; ///< What makes two tries the same call.
    std::optional<call_digest> body; ///< Digest of method, target and body; not known to a status look-up.

    friend auto operator==(const once_call&, const once_call&) -> bool = default;
};

/// A plain service's answer, as remembered.
struct once_answer
{
    int status = 0;           ///< HTTP status.
    std::string content_type; ///< Type of the body.
    std::string body;         ///< The body; empty if it was too long to keep.
    bool body_kept = true;    ///< False if the body was too long to keep.

    friend auto operator==(const once_answer&, const once_answer&) -> bool = default;
};

/// Why it can't be told whether a call ran.
enum class unknown_reason
{
    other_incarnation, ///< The ticket is of another start of the sidecar, which alone can tell.
    broken,            ///< It was sent and no answer came.
    forgotten,         ///< Its outcome was remembered as long as promised.
    maybe_earlier,     ///< The key may have been tried before this start, or at another home.
    not_home,          ///< The bundle in force here names another home; a gateway may try there.
    no_lease,          ///< This sidecar has no lease on its upstream: another may be acting for it.
};

/// Minted: the text to hand to the caller and how long it is good for.
struct once_minted
{
    std::string text;       ///< The ticket.
    call_serial serial;     ///< Its serial.
    duration submit_within; ///< How long it can be submitted.

    friend auto operator==(const once_minted&, const once_minted&) -> bool = default;
};
/// Recorded: the only try that may send it. Ask sending() just before the first byte.
struct once_run
{
    call_serial serial; ///< Names it in the calls that follow.

    friend auto operator==(const once_run&, const once_run&) -> bool = default;
};
/// Another try is running it: wait for its answer.
struct once_join
{
    call_serial serial; ///< The running call.

    friend auto operator==(const once_join&, const once_join&) -> bool = default;
};
/// It ran; this is its answer.
struct once_replay
{
    once_answer answer; ///< The remembered answer.

    friend auto operator==(const once_replay&, const once_replay&) -> bool = default;
};
/// It can't be told whether it ran, and it is not run now.
struct once_unknown
{
    unknown_reason why = unknown_reason::maybe_earlier; ///< Why not.

    friend auto operator==(const once_unknown&, const once_unknown&) -> bool = default;
};
/// It never ran and never will: the ticket or key is dead.
struct once_not_run
{
    friend auto operator==(const once_not_run&, const once_not_run&) -> bool = default;
};
/// A ticket that can still be submitted. Not a promise that it won't run.
struct once_pending
{
    friend auto operator==(const once_pending&, const once_pending&) -> bool = default;
};

/// What becomes of a try. A refusal (ran `no`) is given only for a call that has provably not run so far, and
/// nothing is recorded for it: the same call may be tried again. An error is a wrong ticket (`corrupt`,
/// `unauthorized`) or another body under the same name (`conflict`); nothing was run for it.
using once_outcome =
    std::variant<once_run, once_join, once_replay, once_unknown, once_not_run, once_pending, refusal, error>;

/// Remembers every call that may not be repeated, at the one process that can send it, so that it is sent at
/// most once however often and through however many gateways it is tried.
///
/// Invariants: one name leads to at most one `true` of sending(); not_run is said only of a call for which
/// sending() never was and never will be `true`. A ticket is only ever run by the incarnation that minted it.
/// Bounds: `max_calls` and `max_bytes`, reserved when a ticket is minted or a key recorded, answer included;
/// at the bound both are refused with ran `no`. Nothing is evicted before its time.
class once_ledger
{
public:
    /// An empty ledger of a sidecar that has just started.
    explicit once_ledger(once_ledger_options options);

    /// A new ticket, or a refusal with ran `no` when the ledger is full.
    [[nodiscard]] auto mint(instant now, const call_owner& owner) -> std::variant<once_minted, refusal>;
    /// What submit() would say, without recording anything; a once_run carries no serial yet. Asked first, so
    /// that a replay or join needs no permit of the upstream.
    [[nodiscard]] auto look(instant now, const once_call& call) -> once_outcome;
    /// A try. After once_run the caller must end it by sending() and then answered() or broken(), or by
    /// withdraw().
    [[nodiscard]] auto submit(instant now, const once_call& call) -> once_outcome;
    /// The first byte is about to leave. Only after `true` may it; the answer is `true` once.
    [[nodiscard]] auto sending(instant now, call_serial serial) -> bool;
    /// It will not be sent after all (no permit, no connection, time limit over): dead for good. True if it
    /// never was sent, so that ran `no` is the truth.
    auto withdraw(instant now, call_serial serial) -> bool;
    /// The answer has come, also if it comes after broken().
    void answered(instant now, call_serial serial, once_answer answer);
    /// It was sent and no answer will come.
    void broken(instant now, call_serial serial);
    /// Makes sure that a call never runs if it has not yet: once_not_run, or what has become of it.
    [[nodiscard]] auto void_call(instant now, const once_call& call) -> once_outcome;
    /// What is known of a call; never records anything and never says once_run.
    [[nodiscard]] auto status(instant now, const once_call& call) -> once_outcome;

    /// Calls named by key are run only until then: the sidecar's own lease on its upstream, which its
    /// successor waits out (see docs/design/leases.md). Tickets don't need it.
    void renew_own_lease(instant until) { own_lease_ = until; }
    /// Until when calls named by key may be run; a moment in the past when they may not.
    [[nodiscard]] auto own_lease() const -> instant { return own_lease_.value_or(instant::min()); }
    /// A predecessor may have acted until then, if that is later than the options say: the own address was
    /// not bound before.
    void extend_predecessor_lease(instant until) { own_since_ = std::max(own_since_, until); }
    /// Forgets what is over. To be called more often than `pause_threshold`: time in which this process was
    /// paused doesn't count, since retries sent meanwhile still wait in its sockets.
    void tick(instant now);

    /// Calls remembered.
    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }
    /// Bytes accounted for, reservations included.
    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

private:
    enum class call_state
    {
        minted,
        recorded,
        sent,
        answered,
        broken,
        dead,
    };
    struct entry
    {
        call_state state = call_state::minted;
        bool has_key = false;
        call_digest key;
        std::optional<call_digest> body;
        duration remember_for{0};
        instant due;
        std::size_t bytes = 0;
        std::unique_ptr<once_answer> answer;
    };
    struct known_call
    {
        std::optional<call_serial> serial;
        std::optional<once_outcome> settled;
    };
    using due_item = std::pair<instant, call_serial>;

    [[nodiscard]] auto find(instant now, const once_call& call) const -> known_call;
    [[nodiscard]] auto find_ticket(const once_call& call, const ticket_name& name) const -> known_call;
    [[nodiscard]] auto find_key(instant now, const once_call& call, const key_name& name) const -> known_call;
    [[nodiscard]] static auto settled_of(call_serial serial, const entry& held, const once_call& call)
        -> std::optional<once_outcome>;
    [[nodiscard]] auto provably_first(instant now, const call_owner& owner, const key_name& name) const
        -> bool;
    [[nodiscard]] static auto key_digest(const once_call& call) -> call_digest;
    [[nodiscard]] auto may_run_keys(instant now) const -> bool;
    [[nodiscard]] auto full() const -> bool;
    [[nodiscard]] auto refuse_full(instant now) const -> refusal;
    [[nodiscard]] auto add(duration remember_for) -> call_serial;
    auto record(const once_call& call, std::optional<call_serial> serial) -> call_serial;
    void set_bytes(entry& held, std::size_t bytes);
    void set_due(call_serial serial, entry& held, instant due);
    void settle(instant now, call_serial serial, entry& held, call_state state);
    void forget(call_serial serial);
    void account_for_process_pause(instant now);
    [[nodiscard]] auto awake(instant now) const -> instant { return now - paused_; }

    once_ledger_options options_;
    ticket_codec codec_;
    std::unordered_map<call_serial, entry> calls_;
    std::unordered_map<call_digest, call_serial, call_digest_hash> keys_;
    std::priority_queue<due_item, std::vector<due_item>, std::greater<>> due_;
    std::size_t bytes_ = 0;
    std::uint64_t next_serial_ = 1;
    std::optional<instant> own_lease_;
    instant own_since_;
    std::optional<instant> last_call_;
    duration paused_{0};
};

} // namespace dragonflymill
