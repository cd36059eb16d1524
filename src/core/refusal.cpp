#include "dragonflymill/core/refusal.h"

namespace dragonflymill {

auto to_string(refusal_code code) -> const char*
{
    switch (code) {
    case refusal_code::account_limit:
        return "account_limit";
    case refusal_code::overloaded:
        return "overloaded";
    case refusal_code::upstream_cold:
        return "upstream_cold";
    case refusal_code::upstream_gone:
        return "upstream_gone";
    case refusal_code::draining:
        return "draining";
    case refusal_code::stopping:
        return "stopping";
    case refusal_code::deadline:
        return "deadline";
    case refusal_code::ticket_unknown:
        return "ticket_unknown";
    case refusal_code::not_ready:
        return "not_ready";
    case refusal_code::no_route:
        return "no_route";
    case refusal_code::too_large:
        return "too_large";
    case refusal_code::cancelled:
        return "cancelled";
    case refusal_code::internal:
        return "internal";
    case refusal_code::quarantined:
        return "quarantined";
    case refusal_code::conflict:
        return "conflict";
    }
    return "internal";
}

auto to_string(ran_state ran) -> const char*
{
    return ran == ran_state::no ? "no" : "unknown";
}

auto is_passing(refusal_code code) -> bool
{
    switch (code) {
    case refusal_code::overloaded:
    case refusal_code::upstream_cold:
    case refusal_code::upstream_gone:
    case refusal_code::draining:
    case refusal_code::stopping:
    case refusal_code::not_ready:
        return true;
    default:
        return false;
    }
}

} // namespace dragonflymill
