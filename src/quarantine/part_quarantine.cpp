#include "dragonflymill/quarantine/part_quarantine.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/quarantine/repeated_request.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace dragonflymill {

namespace {

auto contains_all(const prompt_parts& parts, const prompt_parts& wanted) -> bool
{
    return std::includes(parts.begin(), parts.end(), wanted.begin(), wanted.end());
}

auto contains(const prompt_parts& parts, prompt_part wanted) -> bool
{
    return std::binary_search(parts.begin(), parts.end(), wanted);
}

auto hash_of(const prompt_parts& parts) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (const prompt_part part : parts) {
        value = mix_bits(value ^ part);
    }
    return value;
}

/// Counts the suspect calls with a part, and their crashes at distinct times. Takes the oldest first.
class crash_counter
{
public:
    void add(const upstream_crash& crash)
    {
        ++calls_;
        upstreams_.insert(crash.upstream);
        if (times_.empty() || crash.at - times_.back() > part_quarantine::common_cause_window) {
            times_.push_back(crash.at);
        }
    }
    [[nodiscard]] auto times() const -> const std::vector<instant>& { return times_; }
    [[nodiscard]] auto calls() const -> int { return calls_; }
    [[nodiscard]] auto suffices(int min_crashes) const -> bool
    {
        return static_cast<int>(times_.size()) >= min_crashes &&
               upstreams_.size() >= part_quarantine::min_upstreams;
    }

private:
    int calls_ = 0;
    std::vector<instant> times_;
    std::set<upstream_run> upstreams_;
};

} // namespace

void part_quarantine::set_gateways(std::string self, std::vector<std::string> peers, bool in_first_cell)
{
    self_ = std::move(self);
    peers_ = std::move(peers);
    in_first_cell_ = in_first_cell;
}

void part_quarantine::tick(instant now)
{
    evidence_.expire(now);
    std::erase_if(trials_, [&](const auto& item) { return now - item.second > trial_timeout; });
    update(now);
}

void part_quarantine::update(instant now)
{
    if (evidence_.changes() == evaluated_changes_ || now - evaluated_at_ < update_interval) {
        return;
    }
    evaluated_changes_ = evidence_.changes();
    evaluated_at_ = now;
    quarantines_.clear();
    std::vector<open_crash> open = open_crashes(now);
    for (std::size_t index = 0; index < evidence_.crashes().size(); ++index) {
        evidence_.set_in_use(index, false);
    }
    std::set<prompt_part> undecided;
    while (quarantines_.size() < max_quarantines) {
        const auto suspect = most_suspect(open, undecided);
        if (!suspect) {
            break;
        }
        prompt_parts parts = common_parts(suspect->part, open);
        const bool in_other_calls = std::any_of(suspect->equals.begin(), suspect->equals.end(),
                                                [&](prompt_part equal) { return !contains(parts, equal); });
        if (in_other_calls && suspect->crashed_at.size() < max_undecided_crashes) {
            // One of them is sound; the next crash tells.
            undecided.insert(suspect->equals.begin(), suspect->equals.end());
            continue;
        }
        const auto explains = [&](const open_crash& item) {
            return std::any_of(item.crash->calls.begin(), item.crash->calls.end(),
                               [&](const suspect_call& call) { return contains_all(call.parts, parts); });
        };
        const auto explained = std::stable_partition(open.begin(), open.end(),
                                                     [&](const auto& item) { return !explains(item); });
        keep_crashes({explained, open.end()});
        open.erase(explained, open.end());
        // With an own part in common all of them are repetitions of one request, which is blocked itself.
        if (std::none_of(parts.begin(), parts.end(), is_own_part)) {
            quarantines_.push_back(make_quarantine(std::move(parts), suspect->crashed_at));
        }
    }
}

auto part_quarantine::open_crashes(instant now) const -> std::vector<open_crash>
{
    std::vector<open_crash> open;
    const auto& crashes = evidence_.crashes();
    for (std::size_t index = 0; index < crashes.size(); ++index) {
        if (!crashes[index].survived && now - crashes[index].at <= crash_evidence::max_age) {
            open.push_back({index, &crashes[index]});
        }
    }
    std::stable_sort(open.begin(), open.end(),
                     [](const open_crash& a, const open_crash& b) { return a.crash->at < b.crash->at; });
    return open;
}

auto part_quarantine::most_suspect(const std::vector<open_crash>& open,
                                   const std::set<prompt_part>& undecided) const
    -> std::optional<suspect_part>
{
    std::unordered_map<prompt_part, crash_counter> counters;
    for (const open_crash& item : open) {
        for (const suspect_call& call : item.crash->calls) {
            for (const prompt_part part : call.parts) {
                if (!evidence_.cleared(part, item.crash->at) && !undecided.contains(part)) {
                    counters[part].add(*item.crash);
                }
            }
        }
    }
    // Of parts with as many crashes, the one in fewer calls is more specific: blame for it harms fewer
    // callers.
    const auto rank = [](const auto& item) {
        const crash_counter& counter = item.second;
        return std::tuple(counter.times().size(), -counter.calls(), item.first);
    };
    const std::pair<const prompt_part, crash_counter>* most = nullptr;
    for (const auto& item : counters) {
        const int needed = evidence_.was_cleared(item.first) ? min_crashes_after_clearing : min_crashes;
        if (item.second.suffices(needed) && (most == nullptr || rank(item) > rank(*most))) {
            most = &item;
        }
    }
    if (most == nullptr) {
        return std::nullopt;
    }
    suspect_part found{most->first, most->second.times(), {}};
    for (const auto& [part, counter] : counters) {
        if (counter.times().size() == found.crashed_at.size()) {
            found.equals.push_back(part);
        }
    }
    return found;
}

auto part_quarantine::common_parts(prompt_part part, const std::vector<open_crash>& open) const
    -> prompt_parts
{
    std::optional<prompt_parts> common;
    for (const open_crash& item : open) {
        if (evidence_.cleared(part, item.crash->at)) {
            continue;
        }
        for (const suspect_call& call : item.crash->calls) {
            if (!contains(call.parts, part)) {
                continue;
            }
            if (!common) {
                common = call.parts;
            }
            std::erase_if(*common, [&](prompt_part other) {
                return !contains(call.parts, other) || evidence_.cleared(other, item.crash->at);
            });
        }
    }
    return common.value_or(prompt_parts{part});
}

auto part_quarantine::make_quarantine(prompt_parts parts, const std::vector<instant>& crashed_at) const
    -> quarantine
{
    static constexpr std::array<duration, 4> trial_delays{duration::zero(), second_trial_delay,
                                                          third_trial_delay, later_trial_delay};
    const instant began_at = crashed_at[min_crashes - 1];
    const auto after_begin = std::count_if(crashed_at.begin(), crashed_at.end(),
                                           [&](instant at) { return at > began_at + settle_time; });
    const auto failed_trials = std::min(static_cast<std::size_t>(after_begin), trial_delays.size() - 1);
    const instant trial_at =
        std::max(began_at + first_trial_delay, crashed_at.back() + trial_delays[failed_trials]);
    return {std::move(parts), static_cast<int>(crashed_at.size()), crashed_at.back(), trial_at,
            crashed_at[crashed_at.size() - min_crashes] + crash_evidence::max_age};
}

void part_quarantine::keep_crashes(const std::vector<open_crash>& explained)
{
    const std::size_t count = explained.size();
    for (std::size_t index = 0; index < count; ++index) {
        if (index < max_kept_crashes / 2 || index + max_kept_crashes / 2 >= count) {
            evidence_.set_in_use(explained[index].index, true);
        }
    }
}

auto part_quarantine::find(const prompt_parts& parts) const -> const quarantine*
{
    const auto found = std::find_if(quarantines_.begin(), quarantines_.end(),
                                    [&](const quarantine& item) { return contains_all(parts, item.parts); });
    return found == quarantines_.end() ? nullptr : &*found;
}

auto part_quarantine::makes_trials(const quarantine& found) const -> bool
{
    const std::uint64_t key = hash_of(found.parts);
    const std::uint64_t own = rendezvous_score(key, self_);
    return in_first_cell_ && std::none_of(peers_.begin(), peers_.end(), [&](const std::string& peer) {
               return rendezvous_score(key, peer) > own;
           });
}

auto part_quarantine::blocked_until(const prompt_parts& parts, instant now) const -> instant
{
    instant until = now;
    for (const prompt_part part : parts) {
        if (is_own_part(part) && evidence_.is_suspect(part)) {
            const auto blocked =
                request_blocked_until(count_consecutive_ends(evidence_, part, now), part, self_);
            until = std::max(until, blocked.value_or(now));
        }
    }
    return until;
}

auto part_quarantine::check(const prompt_parts& parts, instant now) const -> quarantine_verdict
{
    const instant until = blocked_until(parts, now);
    if (until > now) {
        return {false, false, until - now, true};
    }
    const quarantine* found = parts.empty() ? nullptr : find(parts);
    if (found == nullptr || now >= found->ends_at) {
        return {};
    }
    const bool just_tried = trials_.contains(hash_of(found->parts));
    if (now >= found->trial_at && !just_tried && makes_trials(*found)) {
        return {true, true, duration::zero(), false};
    }
    return {false, false, found->ends_at - now, false};
}

void part_quarantine::trial_sent(const prompt_parts& parts, instant now)
{
    if (const quarantine* found = find(parts)) {
        trials_[hash_of(found->parts)] = now;
    }
}

} // namespace dragonflymill
