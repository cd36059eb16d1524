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

Test(upstream_list, ignores_an_older_configuration)
{
    upstream_list list;
    list.take("config", config(8), start);
    list.take("config", config(5), start);
    cr_assert(list.config()->version() == 8);
}

Test(upstream_list, sends_no_work_to_a_draining_upstream)
{
    upstream_list list;
    upstream_entry leaving = entry("u1");
    list.take("k1", leaving, start);
    cr_assert(list.accepts_work(list.upstreams().at("u1")));
    leaving.leaving = true;
    list.take("k1", leaving, start);
    cr_assert(!list.accepts_work(list.upstreams().at("u1")));
}

// Guards against refusing all callers after a registry outage: the entries of running upstreams expired
// during it, and the upstreams register again about a second after its end.
Test(upstream_list, delays_a_removal_right_after_an_outage)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.take("k2", entry("u2"), start);
    list.remove("k1", true, start);
    list.remove("k2", true, start);
    list.tick(start + 1s);
    cr_assert(list.upstreams().size() == 2);
    list.take("k1", entry("u1"), start + 1s);
    list.tick(start + upstream_list::removal_delay);
    cr_assert(list.upstreams().contains("u1"));
    cr_assert(!list.upstreams().contains("u2"), "an upstream that does not reappear is removed");
}

Test(upstream_list, applies_a_removal_at_once_without_an_outage)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.remove("k1", false, start);
    cr_assert(list.upstreams().empty());
}

// Guards against crashing cold upstreams with the full load of all gateways: upstreams of a drained failure
// domain may have restarted unnoticed before operators put the domain back into service.
Test(upstream_list, treats_upstreams_of_a_restored_domain_as_cold)
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

// An upstream that restarts under the same id has lost its state and is cold.
Test(upstream_list, treats_a_restart_under_the_same_id_as_a_new_upstream)
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

// An invalid entry written under an upstream's key removes that upstream only.
Test(upstream_list, removes_the_upstream_of_an_entry_that_cannot_be_decoded)
{
    upstream_list list;
    list.take("k1", entry("u1"), start);
    list.take("k2", entry("u2"), start);
    list.take("k1", unusable_record{"no JSON"}, start);
    cr_assert(!list.upstreams().contains("u1"));
    cr_assert(list.upstreams().contains("u2"));
}
