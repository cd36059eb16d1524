#include "support/message_bag.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

auto deliveries(std::uint64_t seed) -> std::vector<int>
{
    message_bag<int> bag(seed, {.drop = 0.2, .duplicate = 0.2, .late = 0.1});
    for (int i = 0; i < 100; ++i) {
        bag.send(instant(duration(i * 100)), i);
    }
    std::vector<int> order;
    while (const auto arrival = bag.next_arrival()) {
        order.push_back(*bag.take(*arrival));
    }
    return order;
}

} // namespace

Test(message_bag, the_same_seed_gives_the_same_deliveries)
{
    cr_assert(deliveries(7) == deliveries(7));
    cr_assert(deliveries(7) != deliveries(8));
}

Test(message_bag, delivers_no_message_early_and_keeps_messages_to_a_paused_receiver)
{
    message_bag<int> bag(1, {.min_delay = 1ms, .max_delay = 1ms});
    bag.send(instant(0us), 1);
    cr_assert(!bag.take(instant(999us)));
    cr_assert(!bag.take(instant(1ms), [](int) { return false; }));
    cr_assert(bag.size() == 1);
    cr_assert(bag.take(instant(1ms)) == 1);
}

Test(message_bag, drops_all_messages_at_a_drop_rate_of_one)
{
    message_bag<int> bag(1, {.drop = 1.0});
    bag.send(instant(0us), 1);
    cr_assert(bag.size() == 0);
    cr_assert(bag.dropped() == 1);
}
