#include "dragonflymill/direct/word_schedule.h"

#include <algorithm>

namespace dragonflymill::direct {

auto word_schedule::next(const tellable_state& state, bool at_once, instant now) -> std::optional<due_word>
{
    const int spread = std::max(1, state.gateways / gateways_at_full_rate);
    const bool changed = state.load_changes != told_.load_changes || state.revision != told_.revision;
    const duration since = now - told_at_;
    const bool due = changed ? since >= word_interval * spread : since >= idle_word_interval;
    if (!at_once && !due) {
        return std::nullopt;
    }
    const due_word word{now - told_whole_at_ >= whole_word_interval, changes_before_.front()};
    if (word.whole) {
        told_whole_at_ = now;
    }
    std::rotate(changes_before_.begin(), changes_before_.begin() + 1, changes_before_.end());
    changes_before_.back() = state.load_changes;
    told_ = state;
    told_at_ = now;
    return word;
}

} // namespace dragonflymill::direct
