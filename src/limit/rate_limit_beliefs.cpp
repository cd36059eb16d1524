#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <algorithm>

namespace dragonflymill {

auto rate_limit_beliefs::record(upstream_run upstream, const rate_statement& statement, instant sent_at,
                                instant now) -> bool
{
    const auto known = beliefs_.find(upstream);
    const bool limited = known != beliefs_.end() && known->second.calls_per_s;
    const bool ends = limited && sent_at > known->second.stated_at;
    if (!statement.readable || (!statement.calls_per_s && !ends)) {
        return false;
    }
    const bool changed = !limited || known->second.calls_per_s != statement.calls_per_s;
    beliefs_[upstream] = {statement.calls_per_s, now, true};
    return changed;
}

auto rate_limit_beliefs::apply(upstream_run upstream, const rate_limit_belief& other) -> bool
{
    const auto known = beliefs_.find(upstream);
    if (known == beliefs_.end()) {
        if (other.calls_per_s) {
            beliefs_[upstream] = {other.calls_per_s, other.stated_at, false};
        }
        return other.calls_per_s.has_value();
    }
    if (!other.first_hand || other.stated_at <= known->second.stated_at) {
        return false;
    }
    const bool changed = known->second.calls_per_s != other.calls_per_s;
    known->second = {other.calls_per_s, other.stated_at, false};
    return changed;
}

void rate_limit_beliefs::retain(const std::set<upstream_run>& known, instant now)
{
    std::erase_if(beliefs_, [&](const auto& item) {
        const bool needed = item.second.calls_per_s && known.contains(item.first);
        return !needed && now - item.second.stated_at > retention;
    });
}

auto rate_limit_beliefs::find(upstream_run upstream) const -> const rate_limit_belief*
{
    const auto known = beliefs_.find(upstream);
    return known == beliefs_.end() || !known->second.calls_per_s ? nullptr : &known->second;
}

auto rate_limit_beliefs::limited() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(beliefs_.begin(), beliefs_.end(), [](const auto& item) {
        return item.second.calls_per_s.has_value();
    }));
}

} // namespace dragonflymill
