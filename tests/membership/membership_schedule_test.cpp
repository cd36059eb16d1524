#include "membership_fixture.h"
#include "support/schedule_seeds.h"

#include <algorithm>
#include <array>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr std::size_t size = 5;
constexpr int steps = 25;

// Injects random pauses, restarts, stops and partitions. Checks that a leaving process is never seen alive
// again in the same incarnation, and that all processes find each other once the faults end.
class member_schedule
{
public:
    explicit member_schedule(std::uint64_t seed)
        : world_(size, seed, {.drop = 0.15, .duplicate = 0.1, .late = 0.05})
        , random_(seed * 17)
    {
    }

    auto run() -> std::optional<std::string>
    {
        world_.run(20s);
        for (int step = 0; step < steps && !violation_; ++step) {
            inject_fault();
            world_.run(500ms * static_cast<std::int64_t>(1 + random_.below(12)),
                       [this] { check_leaving_is_final(); });
        }
        end_faults();
        world_.run(90s, [this] { check_leaving_is_final(); });
        if (!violation_ && !world_.all_observe_all_alive()) {
            violation_ =
                "not all processes see each other alive after the faults ended:" + describe_mismatches();
        }
        return violation_;
    }

private:
    [[nodiscard]] auto describe_mismatches() const -> std::string
    {
        std::string text;
        for (std::size_t at = 0; at < size; ++at) {
            for (std::size_t about = 0; about < size; ++about) {
                const auto state = world_.observed_state(at, about);
                if (at != about && state != member_state::alive) {
                    text +=
                        " " + std::to_string(at) + " sees " + std::to_string(about) + " " + to_string(state);
                }
            }
        }
        return text;
    }

    void inject_fault()
    {
        const auto at = random_.below(size);
        switch (random_.below(5)) {
        case 0:
            world_.paused[at] = !world_.paused[at];
            break;
        case 1:
            restart(at);
            break;
        case 2:
            if (world_.is_running(at)) {
                world_.apply_outputs(at, world_.members[at]->leave());
            }
            break;
        case 3:
            world_.down[at] = true;
            break;
        default:
            world_.partition[at] = world_.partition[at] == 0 ? 1 : 0;
            break;
        }
    }

    void restart(std::size_t at)
    {
        world_.paused[at] = false;
        start_ += 1'000;
        world_.start(at, start_);
        std::fill_n(leaving_start_.begin() + static_cast<std::ptrdiff_t>(at * size), size, incarnation());
    }

    void end_faults()
    {
        world_.bag.change({});
        for (std::size_t at = 0; at < size; ++at) {
            world_.partition[at] = 0;
            world_.paused[at] = false;
            if (world_.down[at] || world_.members[at]->self().state == member_state::leaving) {
                restart(at);
            }
        }
    }

    void check_leaving_is_final()
    {
        for (std::size_t at = 0; at < size; ++at) {
            for (std::size_t about = 0; about < size; ++about) {
                const auto* record = world_.members[at]->table().find(membership_fixture::name(about));
                if (record == nullptr) {
                    leaving_start_[at * size + about] = incarnation();
                    continue;
                }
                const auto start = record->update.number.start;
                auto& leaving_start = leaving_start_[at * size + about];
                if (record->update.state == member_state::leaving) {
                    leaving_start = start;
                }
                else if (leaving_start == start && leaving_start != incarnation()) {
                    violation_ = std::to_string(at) + " no longer considers " + std::to_string(about) +
                                 " leaving within the same incarnation";
                }
            }
        }
    }

    membership_fixture world_;
    random_source random_;
    std::uint64_t start_ = 1'000;
    std::array<incarnation, size * size> leaving_start_{};
    std::optional<std::string> violation_;
};

} // namespace

Test(membership_schedule, leaving_is_final_and_members_converge_after_faults)
{
    run_schedules(seeds, "test_membership", "membership_schedule/*",
                  [](std::uint64_t seed) { return member_schedule(seed).run(); });
}
