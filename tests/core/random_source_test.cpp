#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/stable_hash.h"

#include <criterion/criterion.h>

using namespace dragonflymill;

Test(random_source, sequence_is_the_same_on_every_machine)
{
    random_source source(1);
    cr_assert(source.next() == 0x910a2dec89025cc1ULL);
    cr_assert(source.next() == 0xbeeb8da1658eec67ULL);
}

Test(stable_hash, removing_a_node_moves_only_its_own_keys)
{
    constexpr std::uint64_t keys = 1'000;
    for (std::uint64_t key = 0; key < keys; ++key) {
        const auto a = rendezvous_score(key, "a");
        const auto b = rendezvous_score(key, "b");
        const auto c = rendezvous_score(key, "c");
        const bool owner_was_c = c > a && c > b;
        const bool owner_is_a = a > b;
        if (!owner_was_c) {
            cr_assert(owner_is_a == (a > b && a > c));
        }
    }
}
