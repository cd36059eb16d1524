#include "dragonflymill/lease/own_lease.h"
#include "once/once_fixture.h"
#include "support/message_bag.h"
#include "support/schedule_seeds.h"

#include <criterion/criterion.h>

#include <array>
#include <map>
#include <memory>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

// Simulates callers that retry through gateways, a sidecar with its successors, and the service, connected by
// a message bag. The seed determines lost, late, duplicated and reordered messages, pauses, restarts, and
// starts beside a paused predecessor. Checks that no call is executed twice and that no call reported as not
// run is ever executed.

namespace {

constexpr std::uint64_t seeds = 500;
// Seed 2190: a sidecar paused until an outcome had expired found a revocation queued in its socket and
// reported not run.
//
// Seed 15658: a successor paused for as long as outcomes are remembered ran a retry that was queued in its
// socket.
constexpr std::initializer_list<std::uint64_t> seeds_that_found_faults = {2190, 15658};
constexpr std::uint32_t calls = 12;
constexpr std::uint32_t attempts_per_call = 5;
constexpr duration length = 240s;
constexpr duration step = 100ms;
constexpr duration remembered = 60s;

enum class message_kind
{
    submit,  ///< Gateway to sidecar.
    revoke,  ///< Gateway to sidecar.
    execute, ///< Sidecar to service.
    result,  ///< Service to sidecar.
};

struct message
{
    message_kind kind = message_kind::submit;
    std::size_t sidecar = 0;
    std::uint32_t call = 0;
    call_serial serial;
    std::uint64_t sending = 0;
};

struct sidecar
{
    sidecar(const once_ledger_options& ledger_options, const own_lease_options& lease_options)
        : ledger(ledger_options)
        , lease(ledger_options.started, lease_options)
    {
    }

    once_ledger ledger;
    own_lease lease;
    bool alive = true;
    instant paused_until;
    std::map<call_serial, std::pair<instant, std::uint32_t>> to_send;
    std::map<call_serial, instant> answer_by;
};

struct planned_call
{
    once_call call;
    bool by_ticket = false;
    std::size_t issuer = 0;
    instant next_attempt_at;
    std::uint32_t attempts = 0;
    std::uint32_t executions = 0;
    bool reported_not_run = false;
};

class schedule
{
public:
    explicit schedule(std::uint64_t seed)
        : random_(seed)
        , bag_(random_.next(), {.drop = 0.1, .duplicate = 0.15, .late = 0.1, .late_delay = 20s})
    {
        start_sidecar(instant());
        for (std::uint32_t i = 0; i < calls; ++i) {
            planned_call planned;
            planned.next_attempt_at =
                instant(duration(random_.below(static_cast<std::uint64_t>(120'000'000))));
            planned_.push_back(planned);
        }
    }

    /// Returns the violated invariant, if any.
    auto run() -> std::optional<std::string>
    {
        for (instant now{}; now < instant(length); now += step) {
            inject_faults(now);
            for (std::size_t i = 0; i < sidecars_.size(); ++i) {
                work(now, i);
            }
            for (std::uint32_t i = 0; i < calls; ++i) {
                attempt_call(now, i);
            }
            deliver(now);
            if (violation_) {
                return violation_;
            }
        }
        return std::nullopt;
    }

    /// Hash of all outcomes, to compare runs.
    [[nodiscard]] auto trace() const -> std::uint64_t { return trace_; }

    /// Number of executions of all calls.
    [[nodiscard]] auto executions() const -> std::uint32_t
    {
        std::uint32_t count = 0;
        for (const planned_call& planned : planned_) {
            count += planned.executions;
        }
        return count;
    }

private:
    [[nodiscard]] auto running(instant now, std::size_t i) const -> bool
    {
        return sidecars_[i]->alive && now >= sidecars_[i]->paused_until;
    }

    void start_sidecar(instant now)
    {
        const auto skew = duration(static_cast<duration::rep>(random_.below(4'000'000))) - 2s;
        once_ledger_options options = ledger_options(sidecars_.size() + 1, now.time_since_epoch());
        options.started_wall += skew;
        options.predecessor_lease = 4s;
        options.pause_threshold = 1s;
        own_lease_options lease;
        lease.self = options.self;
        sidecars_.push_back(std::make_unique<sidecar>(options, lease));
        bound_ = sidecars_.size() - 1;
    }

    void inject_faults(instant now)
    {
        if (random_.chance(0.002)) {
            sidecars_[bound_]->paused_until = now + duration(random_.below(90'000'000));
        }
        if (random_.chance(0.002) && sidecars_.size() < 6) {
            // The predecessor either crashes or stays beside its successor, possibly paused.
            sidecars_[bound_]->alive = random_.chance(0.6);
            start_sidecar(now);
        }
    }

    void work(instant now, std::size_t i)
    {
        sidecar& self = *sidecars_[i];
        if (!running(now, i)) {
            return;
        }
        if (now.time_since_epoch() % 1s == 0s) {
            self.lease.confirmed(now, incarnation(bound_ + 1));
            self.lease.bundle_confirmed(now);
        }
        self.ledger.renew_own_lease(self.lease.live(now) ? self.lease.until() : instant::min());
        self.ledger.tick(now);
        send_due(now, i);
        for (auto next = self.answer_by.begin(); next != self.answer_by.end();) {
            const auto waiting = next++;
            if (waiting->second <= now) {
                self.ledger.broken(now, waiting->first);
                self.answer_by.erase(waiting);
            }
        }
    }

    void send_due(instant now, std::size_t i)
    {
        sidecar& self = *sidecars_[i];
        for (auto next = self.to_send.begin(); next != self.to_send.end();) {
            const auto item = next++;
            const auto [due, call] = item->second;
            if (due > now) {
                continue;
            }
            if (random_.chance(0.1)) {
                record_not_run(call, self.ledger.withdraw(now, item->first));
            }
            else if (self.ledger.sending(now, item->first)) {
                bag_.send(now, {message_kind::execute, i, call, item->first, ++sendings_});
                self.answer_by[item->first] = now + 10s;
            }
            self.to_send.erase(item);
        }
    }

    void attempt_call(instant now, std::uint32_t i)
    {
        planned_call& planned = planned_[i];
        if (planned.next_attempt_at > now || planned.attempts >= attempts_per_call) {
            return;
        }
        if (planned.attempts == 0 && !prepare(now, planned, i)) {
            planned.next_attempt_at = now + 1s;
            return;
        }
        ++planned.attempts;
        planned.next_attempt_at = now + 500ms + duration(random_.below(9'000'000));
        // A gateway reaches the sidecar that is bound to the address, or an older one over an old connection.
        const std::size_t to = random_.chance(0.7) ? bound_ : random_.below(sidecars_.size());
        const bool revokes = planned.attempts > 2 && random_.chance(0.2);
        bag_.send(now, {revokes ? message_kind::revoke : message_kind::submit, to, i, {}, 0});
    }

    auto prepare(instant now, planned_call& planned, std::uint32_t i) -> bool
    {
        const std::uint64_t kind = random_.below(3);
        if (kind == 0) {
            const std::string ticket = running(now, bound_) ? mint(sidecars_[bound_]->ledger, now) : "";
            planned.call = by_ticket(ticket);
            planned.call.owner.remember_for = remembered;
            return !ticket.empty();
        }
        const auto skew = duration(static_cast<duration::rep>(random_.below(4'000'000))) - 2s;
        planned.call =
            by_key(kind == 1 ? timed_key(now.time_since_epoch() + skew, i) : "k" + std::to_string(i));
        planned.call.owner.remember_for = remembered;
        return true;
    }

    void deliver(instant now)
    {
        const auto ready = [&](const message& one) {
            const bool to_sidecar = one.kind != message_kind::execute;
            return !to_sidecar || now >= sidecars_[one.sidecar]->paused_until;
        };
        while (const auto one = bag_.take(now, ready)) {
            handle(now, *one);
        }
    }

    void handle(instant now, const message& one)
    {
        sidecar& self = *sidecars_[one.sidecar];
        planned_call& planned = planned_[one.call];
        switch (one.kind) {
        case message_kind::submit:
        case message_kind::revoke:
            if (self.alive) {
                answer(now, one);
            }
            break;
        case message_kind::execute:
            // A connection delivers each sending at most once; two sendings are a fault of the ledger.
            if (executed_.insert(one.sending).second) {
                ++planned.executions;
                check(planned, one.call);
                bag_.send(now, {message_kind::result, one.sidecar, one.call, one.serial, one.sending});
            }
            break;
        case message_kind::result:
            if (self.alive && replied_.insert(one.sending).second) {
                self.ledger.answered(now, one.serial, {201, "", "done", true});
                self.answer_by.erase(one.serial);
            }
            break;
        }
    }

    void answer(instant now, const message& one)
    {
        sidecar& self = *sidecars_[one.sidecar];
        const once_call& call = planned_[one.call].call;
        const once_outcome outcome = one.kind == message_kind::revoke ? self.ledger.revoke_call(now, call)
                                                                      : self.ledger.submit(now, call);
        if (const auto* run = std::get_if<once_run>(&outcome)) {
            self.to_send[run->serial] = {now + duration(random_.below(1'000'000)), one.call};
        }
        record_not_run(one.call, std::holds_alternative<once_not_run>(outcome));
        trace_ = (trace_ ^ outcome.index() ^ one.call) * 0x100000001b3ULL;
        const bool replayed = std::holds_alternative<once_replay>(outcome);
        if (replayed && planned_[one.call].executions != 1) {
            violation_ = "call " + std::to_string(one.call) + " was replayed without having run";
        }
    }

    void record_not_run(std::uint32_t call, bool reported)
    {
        planned_[call].reported_not_run = planned_[call].reported_not_run || reported;
        check(planned_[call], call);
    }

    void check(const planned_call& planned, std::uint32_t call)
    {
        if (planned.executions > 1) {
            violation_ = "call " + std::to_string(call) + " was executed twice";
        }
        if (planned.executions > 0 && planned.reported_not_run) {
            violation_ = "call " + std::to_string(call) + " was executed and reported as not run";
        }
    }

    random_source random_;
    message_bag<message> bag_;
    std::vector<std::unique_ptr<sidecar>> sidecars_;
    std::size_t bound_ = 0;
    std::vector<planned_call> planned_;
    std::uint64_t sendings_ = 0;
    std::set<std::uint64_t> executed_;
    std::set<std::uint64_t> replied_;
    std::optional<std::string> violation_;
    std::uint64_t trace_ = 0;
};

} // namespace

Test(once_schedule, executes_no_call_twice_and_none_reported_as_not_run)
{
    std::uint64_t executed = 0;
    run_schedules(
        seeds, "test_once", "once_schedule/executes_no_call_twice_and_none_reported_as_not_run",
        [&](auto seed) {
            schedule drawn(seed);
            auto violation = drawn.run();
            executed += drawn.executions();
            return violation;
        },
        seeds_that_found_faults);
    cr_assert(executed > 0, "no schedule executed a call, so the checks were not exercised");
    std::printf("once_schedule: %llu calls executed\n", static_cast<unsigned long long>(executed));
}

Test(once_schedule, the_same_seed_gives_the_same_outcomes)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        schedule one(seed);
        schedule other(seed);
        cr_assert(one.run() == other.run());
        cr_assert(one.trace() == other.trace());
    }
}
