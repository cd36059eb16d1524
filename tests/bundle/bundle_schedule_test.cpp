#include "bundle_simulation.h"
#include "support/schedule_seeds.h"

#include <algorithm>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr int steps = 40;

// Random schedule of publications, a stale or unavailable service, pauses, restarts and partitions.
class bundle_schedule
{
public:
    explicit bundle_schedule(std::uint64_t seed)
        : world_(seed, {.drop = 0.15, .duplicate = 0.1, .late = 0.05})
        , random_(seed * 31)
    {
    }

    auto run() -> std::optional<std::string>
    {
        world_.publish(test_bundle(1));
        world_.run(20s);
        for (int step = 0; step < steps && !violation_; ++step) {
            inject_fault();
            world_.run(duration(500ms) * static_cast<std::int64_t>(1 + random_.below(6)),
                       [this] { check(); });
        }
        heal();
        world_.run(30s, [this] { check(); });
        if (!violation_ && !world_.all_have(highest_)) {
            violation_ = "the newest bundle did not reach all processes after the faults ended";
        }
        return violation_;
    }

private:
    void inject_fault()
    {
        const auto at = random_.below(bundle_simulation::size);
        switch (random_.below(6)) {
        case 0:
            world_.publish(test_bundle(++published_, static_cast<std::uint32_t>(1 + random_.below(2))));
            break;
        case 1:
            world_.publish(test_bundle(1 + random_.below(published_)));
            break;
        case 2:
            world_.service_up = !world_.service_up;
            break;
        case 3:
            world_.paused[at] = !world_.paused[at];
            break;
        case 4:
            restart(at);
            break;
        default:
            world_.partition[at] = world_.partition[at] == 0 ? 1 : 0;
            break;
        }
    }

    // Restarts one process at a time, and only while a reachable peer has at least the same version; the
    // guarantee covers only this case.
    void restart(std::size_t at)
    {
        bool other_has = false;
        for (std::size_t other = 0; other < bundle_simulation::size; ++other) {
            const bool up = other != at && !world_.paused[other] && world_.connected(at, other);
            other_has = other_has || (up && world_.version(other) >= last_version_[at]);
        }
        if (other_has && !world_.paused[at]) {
            world_.start(at);
            // Keeps its peers reachable until it is ready again.
            world_.run(8s, [this] { check(); });
        }
    }

    void heal()
    {
        world_.partition = {};
        world_.paused = {};
        world_.service_up = true;
        world_.publish(test_bundle(++published_));
        highest_ = published_;
    }

    void check()
    {
        for (std::size_t at = 0; at < bundle_simulation::size; ++at) {
            const auto version = world_.version(at);
            if (version != 0 && version < last_version_[at]) {
                violation_ = "process " + std::to_string(at) + " reverted from version " +
                             std::to_string(last_version_[at]) + " to " + std::to_string(version);
            }
            last_version_[at] = std::max(last_version_[at], version);
        }
    }

    bundle_simulation world_;
    random_source random_;
    std::uint64_t published_ = 1;
    std::uint64_t highest_ = 1;
    std::array<std::uint64_t, bundle_simulation::size> last_version_{};
    std::optional<std::string> violation_;
};

} // namespace

Test(bundle_schedule, version_in_force_never_decreases)
{
    run_schedules(seeds, "test_bundle", "bundle_schedule/*",
                  [](std::uint64_t seed) { return bundle_schedule(seed).run(); });
}
