#include "dragonflymill/direct/upstream_list.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::direct;

namespace {

constexpr instant start(100s);

auto entry(const char* id, const char* domain = "a") -> upstream_entry
{
    upstream_entry made;
    made.id = id;
    made.service = "engines";
    made.address = "10.0.0.1:80";
    made.failure_domain = domain;
    return made;
}

auto config(std::uint64_t version) -> decoded_record
{
    fleet_config::parts parts;
    parts.version = version;
    parts.services = {{"engines", 10, 3s, 38.0, std::nullopt}};
    return std::make_shared<const fleet_config>(std::move(parts));
}

} // namespace

Test(upstream_list, an_older_configuration_does_not_come_back)
{
    upstream_list list;
    list.take("config", config(8), start);
    list.take("config", config(5), start);
    cr_assert(list.config()->version() == 8);
}

Test(upstream_list, a_leaving_upstream_takes_no_work)
{
    upstream_list list;
    upstream_entry leaving = entry("u1");
    list.take("k1", leaving, start);
    cr_assert(list.accepts_work(list.upstreams().at("u1")));
    leaving.leaving = true;
    list.take("k1", leaving, start);
    cr_assert(!list.accepts_work(list.upstreams().at("u1")));
}

// All upstreams vanish from the registry for a second, although they serve: their entries lapsed while the
// registry was down, and they register again after its return. Callers would be refused all that time.
Test(upstream_list, a_removal_right_after_an_outage_is_held_back)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.take("k2", entry("u2"), start);
    list.remove("k1", true, start);
    list.remove("k2", true, start);
    list.tick(start + 1s);
    cr_assert(list.upstreams().size() == 2);
    list.take("k1", entry("u1"), start + 1s);
    list.tick(start + upstream_list::removal_hold);
    cr_assert(list.upstreams().contains("u1"));
    cr_assert(!list.upstreams().contains("u2"), "one that stays away is gone");
}

Test(upstream_list, a_removal_in_calm_times_counts_at_once)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.remove("k1", false, start);
    cr_assert(list.upstreams().empty());
}

// Operators take a failure domain out and bring it back; its upstreams were restarted unseen and are cold.
// Full load from all gateways at once would crash them.
Test(upstream_list, upstreams_of_a_domain_that_comes_back_count_as_cold)
{
    upstream_list list;
    list.take("config", config(1), start);
    list.take("k1", entry("u1", "a"), start);
    list.take("k2", entry("u2", "b"), start);
    list.take("out", drained_domain{"a"}, start);
    cr_assert(!list.accepts_work(list.upstreams().at("u1")));
    cr_assert(list.accepts_work(list.upstreams().at("u2")));
    list.remove("out", false, start + 5s);
    cr_assert(list.accepts_work(list.upstreams().at("u1")));
    cr_assert(list.upstreams().at("u1").cold_until == start + 8s);
    cr_assert(list.upstreams().at("u2").cold_until <= start);
}

// An upstream crashes and starts again under the id that it had: it knows nothing of before and is cold.
Test(upstream_list, a_new_start_under_the_same_id_is_a_new_upstream)
{
    upstream_list list;
    upstream_entry one = entry("u1");
    one.started_ms = 1000;
    list.take("k1", one, start);
    one.started_ms = 9000;
    one.cold_remaining = 3s;
    list.take("k1", one, start + 60s);
    cr_assert(list.upstreams().at("u1").cold_until == start + 63s);
}

// Another writer puts garbage under an upstream's name. It names no upstream to use; the others stay.
Test(upstream_list, an_entry_that_can_not_be_read_takes_its_upstream_out)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.take("k2", entry("u2"), start);
    list.take("k1", unusable_record{"no JSON"}, start);
    cr_assert(!list.upstreams().contains("u1"));
    cr_assert(list.upstreams().contains("u2"));
}
