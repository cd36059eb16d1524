#include "dragonflymill/lease/lease_table.h"
#include "support/message_bag.h"
#include "support/schedule_seeds.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>

using namespace dragonflymill;
using namespace dragonflymill::test;

// Randomized schedules with three gateways, a sidecar that is replaced at times, and an engine, with a faulty
// network between sidecar and engine and lost renewals. Drawn from the seed: lost, late, duplicated and
// reordered messages, pauses, deaths of gateways and sidecar, restarts of the engine. Checked: once the
// gateways stop and the network recovers, the engine holds nothing after a bounded time.

namespace {

constexpr std::uint64_t seeds = 400;
constexpr duration fault_time = 120s;
constexpr duration recovery_time = 60s;
constexpr duration step = 100ms;
constexpr std::size_t gateways = 3;

enum class message_kind
{
    start,     ///< From sidecar to engine.
    cancel,    ///< From sidecar to engine.
    confirm,   ///< From engine to sidecar.
    inventory, ///< From engine to sidecar.
};

struct message
{
    message_kind kind = message_kind::start;
    std::uint64_t sidecar = 0;
    std::uint64_t engine = 0;
    holding what;
    engine_inventory listed;
};

struct stream_of_gateway
{
    std::optional<lease_id> lease;
    std::string id;
    std::uint64_t sidecar = 0;
};

class schedule
{
public:
    explicit schedule(std::uint64_t seed)
        : random_(seed)
        , network_(random_.next(), {.drop = 0.15, .duplicate = 0.1, .late = 0.1, .late_delay = 8s})
        , table_(std::make_unique<lease_table>(lease_table_options{}, random_.next()))
    {
    }

    /// Runs the schedule; returns the violated property, if any.
    auto run() -> std::optional<std::string>
    {
        for (instant now{}; now < instant(fault_time + recovery_time); now += step) {
            const bool recovering = now >= instant(fault_time);
            if (!recovering) {
                inject_faults(now);
                for (std::size_t i = 0; i < gateways; ++i) {
                    run_gateway(now, i);
                }
            }
            else if (now == instant(fault_time)) {
                network_.change({});
                paused_until_ = now;
            }
            if (now >= paused_until_) {
                run_sidecar(now);
            }
            deliver(now);
        }
        if (!held_.empty()) {
            return "the engine holds " + held_.begin()->first.id + " without an owner";
        }
        return table_->owned() + table_->cancelling() == 0
                   ? std::nullopt
                   : std::optional<std::string>("the table still has a lease");
    }

    /// Returns the number of streams started at the engine.
    [[nodiscard]] auto started() const -> std::uint64_t { return started_; }

private:
    void inject_faults(instant now)
    {
        if (random_.chance(0.004)) {
            paused_until_ = now + duration(random_.below(15'000'000));
        }
        if (random_.chance(0.004)) {
            table_ = std::make_unique<lease_table>(lease_table_options{}, random_.next());
            ++sidecar_;
        }
        if (random_.chance(0.002)) {
            held_.clear();
            ++engine_;
        }
    }

    void run_gateway(instant now, std::size_t i)
    {
        stream_of_gateway& own = streams_[i];
        if (now < paused_until_) {
            return;
        }
        if (!own.lease || random_.chance(0.002)) {
            // Starts a new stream. A running one is abandoned, as when a gateway is replaced.
            own.id = "g" + std::to_string(i) + "-" + std::to_string(++numbers_);
            hold(now, i);
            return;
        }
        if (own.sidecar != sidecar_) {
            hold(now, i);
        }
        else if (random_.chance(0.02)) {
            table_->release(now, *own.lease);
            own.lease.reset();
        }
        else if (random_.chance(0.3) && !table_->renew(now, *own.lease)) {
            own.lease.reset();
        }
    }

    void hold(instant now, std::size_t i)
    {
        stream_of_gateway& own = streams_[i];
        const holding what{{false, own.id}, holding_kind::stream, 10};
        const bool new_stream = own.lease == std::nullopt || own.sidecar == sidecar_;
        const auto lease = table_->hold(now, process_id("g" + std::to_string(i)), what);
        own.lease = lease ? std::optional(lease.value().lease) : std::nullopt;
        own.sidecar = sidecar_;
        if (lease && new_stream) {
            network_.send(now, {message_kind::start, sidecar_, engine_, what, {}});
        }
    }

    void run_sidecar(instant now)
    {
        const lease_actions actions = table_->tick(now);
        for (const cancel_request& cancel : actions.cancels) {
            network_.send(now, {message_kind::cancel, sidecar_, engine_, {cancel.what, {}, 0}, {}});
        }
        if (now.time_since_epoch() % 2s == 0s) {
            engine_inventory listed{now, incarnation(engine_), {}};
            for (const auto& [name, what] : held_) {
                listed.held.push_back(what);
            }
            network_.send(now, {message_kind::inventory, sidecar_, engine_, {}, listed});
        }
    }

    void deliver(instant now)
    {
        const auto ready = [&](const message& one) {
            const bool to_engine = one.kind == message_kind::start || one.kind == message_kind::cancel;
            return to_engine || now >= paused_until_;
        };
        while (const auto one = network_.take(now, ready)) {
            handle(now, *one);
        }
    }

    void handle(instant now, const message& one)
    {
        // Messages are dropped with their connection when the process at either end has restarted.
        if (one.engine != engine_ || one.sidecar != sidecar_) {
            return;
        }
        switch (one.kind) {
        case message_kind::start:
            held_[one.what.name] = one.what;
            ++started_;
            break;
        case message_kind::cancel:
            held_.erase(one.what.name);
            network_.send(now, {message_kind::confirm, sidecar_, engine_, one.what, {}});
            break;
        case message_kind::confirm:
            table_->confirmed(one.what.name);
            break;
        case message_kind::inventory:
            table_->reconcile(now, one.listed);
            break;
        }
    }

    random_source random_;
    message_bag<message> network_;
    std::unique_ptr<lease_table> table_;
    std::array<stream_of_gateway, gateways> streams_;
    std::map<holding_name, holding> held_;
    std::uint64_t sidecar_ = 1;
    std::uint64_t engine_ = 1;
    std::uint64_t numbers_ = 0;
    std::uint64_t started_ = 0;
    instant paused_until_;
};

} // namespace

Test(lease_schedule, engine_holds_nothing_without_an_owner)
{
    std::uint64_t started = 0;
    run_schedules(seeds, "test_lease", "lease_schedule/engine_holds_nothing_without_an_owner",
                  [&](auto seed) {
                      schedule drawn(seed);
                      auto broken = drawn.run();
                      started += drawn.started();
                      return broken;
                  });
    cr_assert(started > 0, "no stream started in any schedule");
    std::printf("lease_schedule: %llu streams started\n", static_cast<unsigned long long>(started));
}
