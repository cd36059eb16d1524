#include "timeline/clock_offsets.h"

#include "dragonflymill/core/random_source.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace dragonflymill {

namespace {

/// Builds events of processes with known clock offsets.
class event_builder
{
public:
    explicit event_builder(std::vector<duration> clocks)
        : clocks_(std::move(clocks))
    {
    }

    /// Adds a message that `from` sends at the true time `at` and that arrives after `delay`.
    void message(std::size_t from, std::size_t to, duration at, duration delay)
    {
        const std::string name = "m" + std::to_string(++last_message_);
        add(from, at, name, message_end::send);
        add(to, at + delay, name, message_end::receive);
    }

    void add(std::size_t process, duration at, const std::string& name, message_end end)
    {
        events_.push_back({process_id("p" + std::to_string(process)), instant(at + clocks_[process]),
                           wall_instant(at), request_id("r"), "step", "", name, end});
    }

    [[nodiscard]] auto events() const -> const std::vector<timeline_event>& { return events_; }

private:
    std::vector<duration> clocks_;
    std::vector<timeline_event> events_;
    int last_message_ = 0;
};

/// Absolute error of an estimated offset; the exact offset is the reference clock minus the process's clock.
auto offset_error(const std::vector<clock_offset>& offsets, std::size_t process, duration clock,
                  duration reference_clock) -> duration
{
    const duration error = offsets[process].offset - (reference_clock - clock);
    return std::max(error, -error);
}

auto reference_index(const std::vector<clock_offset>& offsets) -> std::size_t
{
    const auto found = std::find_if(offsets.begin(), offsets.end(), [](const clock_offset& offset) {
        return offset.source == offset_source::reference;
    });
    return static_cast<std::size_t>(found - offsets.begin());
}

} // namespace

Test(clock_offsets, round_trips_bound_the_error)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_source random(seed);
        const std::vector<duration> clocks{duration(random.below(1'000'000'000)),
                                           duration(random.below(1'000'000'000)),
                                           duration(random.below(1'000'000'000))};
        event_builder processes(clocks);
        for (int i = 0; i < 60; ++i) {
            // Only p0 and p1, and p1 and p2, exchange messages. Delays are random and thus asymmetric.
            const std::size_t from = random.below(2);
            const bool back = random.chance(0.5);
            processes.message(from + (back ? 1 : 0), from + (back ? 0 : 1), duration(i * 1000),
                              duration(100 + random.below(5000)));
        }
        const auto offsets = estimate_clock_offsets(processes.events());
        const std::size_t reference = reference_index(offsets);
        for (std::size_t p = 0; p < 3; ++p) {
            const duration error = offset_error(offsets, p, clocks[p], clocks[reference]);
            cr_assert(error <= offsets[p].uncertainty + duration(2),
                      "seed %d: error of %d us exceeds the stated uncertainty of %d us",
                      static_cast<int>(seed), static_cast<int>(error.count()),
                      static_cast<int>(offsets[p].uncertainty.count()));
            cr_assert(offsets[p].uncertainty < 5ms);
        }
    }
}

Test(clock_offsets, ignores_repeated_messages)
{
    // Failure: a duplicate arrives long after the first copy was sent; pairing the two events would shift the
    // estimated offset.
    event_builder processes({0ms, 500ms});
    processes.message(0, 1, 1ms, 1ms);
    processes.message(1, 0, 5ms, 1ms);
    processes.add(0, 40ms, "twice", message_end::send);
    processes.add(0, 60ms, "twice", message_end::send);
    processes.add(1, 41ms, "twice", message_end::receive);
    const auto offsets = estimate_clock_offsets(processes.events());
    cr_assert(offsets[1].offset - offsets[0].offset == -500ms);
    cr_assert(offsets[1].uncertainty + offsets[0].uncertainty == 1ms);
}

Test(clock_offsets, reports_the_source_without_round_trips)
{
    event_builder processes({0ms, 500ms, 90ms});
    processes.message(0, 1, 1ms, 2ms);
    processes.add(2, 3ms, "", message_end::none);
    const auto offsets = estimate_clock_offsets(processes.events());
    cr_assert(offsets[0].source == offset_source::reference);
    cr_assert(offsets[1].source == offset_source::one_way);
    cr_assert(offsets[1].offset == -502ms, "the delay can't be separated from the clock offset");
    cr_assert(offsets[2].source == offset_source::wall_clock);
    cr_assert(offsets[2].offset == -90ms);
    cr_assert(estimate_clock_offsets({}).empty());
}

} // namespace dragonflymill
