#include "dragonflymill/quarantine/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace dragonflymill {

namespace {

auto age_at(instant at, instant now) -> duration
{
    return std::max(now - at, duration::zero());
}

/// Adds the calls of a crash to a report while parts are left; returns whether any call was added.
template <typename Predicate>
auto add_calls(const upstream_crash& crash, Predicate wanted, std::size_t& parts_left, crash_report& report)
    -> bool
{
    for (const suspect_call& call : crash.calls) {
        if (!wanted(call)) {
            continue;
        }
        if (call.parts.size() > parts_left) {
            break;
        }
        parts_left -= call.parts.size();
        report.calls.push_back({call.parts, call.in_flight});
    }
    return !report.calls.empty();
}

} // namespace

auto own_parts(const prompt_parts& parts) -> prompt_parts
{
    prompt_parts own;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(own), is_own_part);
    return own;
}

auto with_request(prompt_parts parts, std::uint64_t request_hash) -> prompt_parts
{
    const prompt_part request = make_prompt_part(request_hash, true);
    const auto place = std::lower_bound(parts.begin(), parts.end(), request);
    if (place == parts.end() || *place != request) {
        parts.insert(place, request);
    }
    return parts;
}

void crash_evidence::record_lost_call(const lost_call& call, instant now)
{
    const bool all_suspect = call.loss == call_loss::closed && call.writing_for <= max_onset;
    prompt_parts suspect = all_suspect ? call.parts : own_parts(call.parts);
    if (suspect.empty() || call.writing_for > max_request_onset) {
        return;
    }
    if (upstream_crash* crash = find_or_add(call.upstream, now)) {
        add_call(*crash, {std::move(suspect), call.in_flight}, true);
    }
}

void crash_evidence::record_lost_prefill(upstream_run engine, const prompt_parts& parts, instant sent_at)
{
    for (upstream_crash& crash : crashes_) {
        if (crash.upstream == engine && crash.at >= sent_at && !parts.empty()) {
            add_call(crash, {parts, crash.at - sent_at}, true);
            return;
        }
    }
}

void crash_evidence::record_answer(const prompt_parts& parts, instant now)
{
    for (const prompt_part part : parts) {
        clear(part, now, true);
    }
}

void crash_evidence::record_sign_of_life(upstream_run upstream, instant now)
{
    sign_of_life_[upstream] = now;
    for (upstream_crash& crash : crashes_) {
        if (crash.upstream == upstream) {
            note_sign_of_life(crash);
        }
    }
}

void crash_evidence::note_sign_of_life(upstream_crash& crash)
{
    const auto seen = sign_of_life_.find(crash.upstream);
    if (seen != sign_of_life_.end() && seen->second >= crash.at + survival_begin &&
        seen->second <= crash.at + survival_end) {
        mark_survival(crash, true);
    }
}

void crash_evidence::mark_survival(upstream_crash& crash, bool announced)
{
    if (!std::exchange(crash.survived, true)) {
        ++changes_;
        if (announced) {
            crash.changed = ++version_;
        }
    }
}

auto crash_evidence::find_or_add(upstream_run upstream, instant at) -> upstream_crash*
{
    for (upstream_crash& crash : crashes_) {
        // An upstream that has answered since may end now.
        const bool is_later = crash.survived && at > crash.at + survival_begin;
        if (crash.upstream == upstream && !is_later && at <= crash.at + same_crash_window &&
            crash.at <= at + same_crash_window) {
            // The time that a report needs isn't part of its age, so the earliest time is the best one.
            crash.at = std::min(crash.at, at);
            return &crash;
        }
    }
    if (crashes_.size() >= max_crashes) {
        const auto rank = [](const upstream_crash& crash) {
            return std::tuple(!crash.survived, crash.in_use, crash.at);
        };
        const auto least = std::min_element(crashes_.begin(), crashes_.end(),
                                            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        if (!least->survived && !least->in_use && at < least->at) {
            return nullptr;
        }
        crashes_.erase(least);
        index_parts();
    }
    const auto later = std::find_if(crashes_.begin(), crashes_.end(),
                                    [&](const upstream_crash& crash) { return crash.at > at; });
    return &*crashes_.insert(later, {upstream, at, false, false, 0, {}});
}

void crash_evidence::add_call(upstream_crash& crash, const reported_call& call, bool announced)
{
    const auto known = std::find_if(crash.calls.begin(), crash.calls.end(),
                                    [&](const suspect_call& other) { return other.parts == call.parts; });
    if (known == crash.calls.end()) {
        if (crash.calls.size() >= max_calls) {
            return;
        }
        crash.calls.push_back({call.parts, call.in_flight, announced});
        ++changes_;
        for (const prompt_part part : call.parts) {
            instant& last = last_crash_of_[part];
            last = std::max(last, crash.at);
        }
        note_sign_of_life(crash);
    }
    else if (!announced || std::exchange(known->announced, true)) {
        return;
    }
    if (announced) {
        crash.changed = ++version_;
    }
}

void crash_evidence::clear(prompt_part part, instant at, bool announced)
{
    const auto crashed = last_crash_of_.find(part);
    if (crashed == last_crash_of_.end() || at <= crashed->second || cleared(part, crashed->second)) {
        return;
    }
    clearing& known = cleared_[part];
    known.at = at;
    known.changed = announced ? ++version_ : 0;
    ++changes_;
}

auto crash_evidence::cleared(prompt_part part, instant crashed_at) const -> bool
{
    const auto found = cleared_.find(part);
    return found != cleared_.end() && found->second.at > crashed_at;
}

void crash_evidence::apply(const evidence_report& report, report_origin origin, instant now)
{
    const bool announced = origin == report_origin::other_cell;
    for (const crash_report& crash : report.crashes) {
        if (crash.age >= duration::zero() && crash.age <= max_age) {
            apply_crash(crash, announced, now);
        }
    }
    for (const cleared_part_report& part : report.cleared) {
        if (part.age >= duration::zero() && part.age <= max_age) {
            clear(part.part, now - part.age, announced);
        }
    }
}

void crash_evidence::apply_crash(const crash_report& report, bool announced, instant now)
{
    upstream_crash* crash = find_or_add(report.upstream, now - report.age);
    if (crash == nullptr) {
        return;
    }
    if (report.survived) {
        mark_survival(*crash, announced);
    }
    for (const reported_call& reported : report.calls) {
        const bool is_known =
            std::any_of(crash->calls.begin(), crash->calls.end(),
                        [&](const suspect_call& call) { return call.parts == reported.parts; });
        if (!is_known && !reported.parts.empty() && reported.parts.size() <= max_call_parts) {
            add_call(*crash, reported, announced);
        }
    }
}

void crash_evidence::expire(instant now)
{
    std::erase_if(sign_of_life_,
                  [&](const auto& item) { return now - item.second > survival_end + same_crash_window; });
    const auto removed =
        std::erase_if(crashes_, [&](const upstream_crash& crash) { return now - crash.at > max_age; });
    if (removed > 0) {
        index_parts();
        ++changes_;
    }
}

void crash_evidence::index_parts()
{
    last_crash_of_.clear();
    for (const upstream_crash& crash : crashes_) {
        for (const suspect_call& call : crash.calls) {
            for (const prompt_part part : call.parts) {
                instant& last = last_crash_of_[part];
                last = std::max(last, crash.at);
            }
        }
    }
    std::erase_if(cleared_, [&](const auto& item) { return !last_crash_of_.contains(item.first); });
}

auto crash_evidence::reports(instant now, std::optional<std::uint64_t> since) const -> evidence_report
{
    evidence_report report;
    std::size_t parts_left = max_reported_parts;
    const std::uint64_t after = since.value_or(0);
    for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
        if (crash->changed <= after || now - crash->at > repeat_time ||
            report.crashes.size() >= max_reported_crashes) {
            continue;
        }
        crash_report item{crash->upstream, age_at(crash->at, now), crash->survived, {}};
        const auto is_announced = [](const suspect_call& call) { return call.announced; };
        if (add_calls(*crash, is_announced, parts_left, item) || item.survived) {
            report.crashes.push_back(std::move(item));
        }
    }
    for (const auto& [part, known] : cleared_) {
        if (known.changed > after && now - known.at <= repeat_time &&
            report.cleared.size() < max_reported_cleared) {
            report.cleared.push_back({part, age_at(known.at, now)});
        }
    }
    return report;
}

auto crash_evidence::known_since(duration oldest, instant now) const -> evidence_report
{
    evidence_report report;
    std::size_t parts_left = max_known_parts;
    const auto add = [&](bool in_use) {
        for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
            crash_report item{crash->upstream, age_at(crash->at, now), crash->survived, {}};
            const auto all = [](const suspect_call& /*call*/) { return true; };
            const bool wanted = crash->in_use == in_use && (in_use || now - crash->at <= oldest);
            if (wanted && add_calls(*crash, all, parts_left, item)) {
                report.crashes.push_back(std::move(item));
            }
        }
    };
    add(true);
    add(false);
    for (const auto& [part, known] : cleared_) {
        if (now - known.at <= oldest && report.cleared.size() < max_known_cleared) {
            report.cleared.push_back({part, age_at(known.at, now)});
        }
    }
    return report;
}

} // namespace dragonflymill
