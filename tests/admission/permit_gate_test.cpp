#include "dragonflymill/admission/permit_gate.h"

#include "support/fault_cell.h"

using namespace dragonflymill;

namespace {

auto at(duration since) -> instant
{
    return instant(since);
}

auto options() -> permit_gate_options
{
    permit_gate_options result;
    result.ramp.floor = 1'000;
    result.ramp.ceiling = 10'000;
    result.first_token.expected = first_token_line{10ms, 10.0};
    return result;
}

auto ask_of(const std::string& gateway, work_cost cost, length_class size_class = length_class::interactive)
    -> permit_ask
{
    return {process_id(gateway), size_class, cost, cost};
}

} // namespace

Test(permit_gate, a_grant_stays_under_the_floor_of_a_cold_upstream)
{
    permit_gate gate(at(0s), options());
    cr_assert(std::holds_alternative<permit>(gate.ask(at(0s), ask_of("g1", 500))));
    const auto second = gate.ask(at(0s), ask_of("g2", 600));
    cr_assert(std::holds_alternative<refusal>(second));
    cr_assert(std::get<refusal>(second).code == refusal_code::upstream_cold);
    cr_assert(std::get<refusal>(second).ran == ran_state::no);
    cr_assert(std::get<refusal>(second).retry_after > 0us);
}
