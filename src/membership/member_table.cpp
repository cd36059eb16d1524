#include "dragonflymill/membership/member_table.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>

namespace dragonflymill {

member_table::member_table(std::size_t max_members, duration retention)
    : max_members_(max_members)
    , retention_(retention)
{
}

auto member_table::merge(instant now, const member_update& update) -> bool
{
    const auto found = records_.find(update.info.id);
    if (found == records_.end()) {
        if (update.state == member_state::dead || !make_room()) {
            return false;
        }
        records_[update.info.id] = {update, now, false, update.state == member_state::leaving, {}};
        count(update, true);
        return true;
    }
    auto& record = found->second;
    if (!overrides(update, record.update)) {
        return false;
    }
    count(record.update, false);
    // A new number restarts the suspicion time: a refuted suspicion must not shorten the next one.
    if (record.update.state != update.state || record.update.number != update.number) {
        record.since = now;
        record.silent = false;
    }
    record.update = update;
    record.second_hand = record.second_hand && update.state == member_state::leaving;
    count(update, true);
    return true;
}

auto member_table::find(const process_id& id) -> member_record*
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

auto member_table::find(const process_id& id) const -> const member_record*
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

void member_table::forget(instant now)
{
    std::erase_if(records_, [&](const auto& entry) {
        return !is_live(entry.second) && now - entry.second.since >= retention_;
    });
}

void member_table::count(const member_update& update, bool added)
{
    if (update.state == member_state::dead || update.state == member_state::leaving) {
        return;
    }
    digest_ ^= stable_hash(update.info.id.text(), update.number.start.value());
    if (added) {
        ++live_count_;
    }
    else {
        --live_count_;
    }
}

auto member_table::make_room() -> bool
{
    if (records_.size() < max_members_) {
        return true;
    }
    auto oldest = records_.end();
    for (auto at = records_.begin(); at != records_.end(); ++at) {
        if (!is_live(at->second) && (oldest == records_.end() || at->second.since < oldest->second.since)) {
            oldest = at;
        }
    }
    if (oldest == records_.end()) {
        return false;
    }
    records_.erase(oldest);
    return true;
}

auto is_live(const member_record& record) -> bool
{
    return record.update.state == member_state::alive || record.update.state == member_state::suspect;
}

} // namespace dragonflymill
