#include "dragonflymill/drain/drain_state.h"

#include "dragonflymill/core/guard.h"

#include <algorithm>

namespace dragonflymill {

namespace {

// Returns the drain that took effect first.
auto earlier(std::optional<drain_status> a, std::optional<drain_status> b) -> std::optional<drain_status>
{
    if (!a || !b) {
        return a ? a : b;
    }
    return b->since < a->since ? b : a;
}

auto supersedes(const drain_notice& a, const drain_notice& b) -> bool
{
    return a.number != b.number ? a.number > b.number : a.out && !b.out;
}

} // namespace

auto to_string(drain_source source) -> const char*
{
    switch (source) {
    case drain_source::bundle:
        return "bundle";
    case drain_source::operators:
        return "operators";
    case drain_source::host_list:
        return "host_list";
    case drain_source::own_process:
        return "own_process";
    }
    return "bundle";
}

drain_state::drain_state(drain_limits limits)
    : limits_(limits)
{
}

void drain_state::bundle_adopted(instant now, const bundle& value)
{
    if (value.version < bundle_version_) {
        return;
    }
    bundle_version_ = value.version;
    std::map<failure_domain_id, instant> out;
    for (const auto& domain : value.domains) {
        if (domain.in_service) {
            continue;
        }
        const auto known = out_by_bundle_.find(domain.id);
        out[domain.id] = known == out_by_bundle_.end() ? now : known->second;
    }
    out_by_bundle_ = std::move(out);
}

void drain_state::host_list_read(instant now, const std::vector<listed_host>& hosts)
{
    for (const auto& listed : hosts) {
        auto& entry = host_entry_of(now, listed.host);
        entry.heard = now;
        if (listed.leaving) {
            entry.listed_leaving = entry.listed_leaving.value_or(now);
            entry.leaving_start = entry.start;
        }
        else if (entry.listed_leaving && entry.start > entry.leaving_start) {
            // A lagging list may still show `live` from before the host began to leave; new work would be cut
            // off when the host goes. Only a process started after the `leaving` entry shows that the host is
            // back.
            entry.listed_leaving.reset();
        }
    }
    forget_hosts(now);
}

void drain_state::process_heard(instant now, const host_id& host, incarnation start, bool leaving)
{
    auto& entry = host_entry_of(now, host);
    entry.heard = now;
    entry.start = std::max(entry.start, start);
    // A delayed "leaving" of an earlier incarnation says nothing about the current one.
    if (leaving && start >= entry.start) {
        entry.said_leaving = entry.said_leaving.value_or(now);
        entry.said_start = start;
    }
    else if (!leaving && start > entry.said_start) {
        // A resumed process may still send "alive" for an incarnation that has announced "leaving"; only a
        // later incarnation ends the drain.
        entry.said_leaving.reset();
    }
}

auto drain_state::operator_said(instant now, const drain_notice& word) -> bool
{
    const auto found = operators_.find(word.subject);
    if (found == operators_.end()) {
        if (operators_.size() >= limits_.max_words) {
            return false;
        }
        operators_[word.subject] = {word, now};
        return true;
    }
    auto& entry = found->second;
    if (!supersedes(word, entry.word)) {
        return false;
    }
    const bool remains_out = word.out && entry.word.out;
    entry = {word, remains_out ? entry.since : now};
    return true;
}

auto drain_state::operator_out(const drain_subject& subject) const -> std::optional<drain_status>
{
    const auto found = operators_.find(subject);
    if (found == operators_.end() || !found->second.word.out) {
        return std::nullopt;
    }
    return drain_status{found->second.since, drain_source::operators};
}

// Guards against new work for drained subjects, which would be lost in the middle of processing at the
// power-off. Every source is checked, and none can override another.
auto drain_state::status(const failure_domain_id& domain) const -> std::optional<drain_status>
{
    if (!guard_holds(guard::drain)) {
        return std::nullopt;
    }
    std::optional<drain_status> by_bundle;
    if (const auto found = out_by_bundle_.find(domain); found != out_by_bundle_.end()) {
        by_bundle = drain_status{found->second, drain_source::bundle};
    }
    return earlier(by_bundle, operator_out(domain));
}

auto drain_state::status(const host_id& host) const -> std::optional<drain_status>
{
    if (!guard_holds(guard::drain)) {
        return std::nullopt;
    }
    auto status = operator_out(host);
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
        return status;
    }
    if (found->second.listed_leaving) {
        status = earlier(status, drain_status{*found->second.listed_leaving, drain_source::host_list});
    }
    if (found->second.said_leaving) {
        status = earlier(status, drain_status{*found->second.said_leaving, drain_source::own_process});
    }
    return status;
}

auto drain_state::accepts_new_work(const failure_domain_id& domain, const host_id& host) const -> bool
{
    return !status(domain) && !status(host);
}

auto drain_state::drained_domains() const -> std::vector<failure_domain_id>
{
    std::vector<failure_domain_id> drained;
    for (const auto& [domain, since] : out_by_bundle_) {
        drained.push_back(domain);
    }
    for (const auto& [subject, entry] : operators_) {
        const auto* domain = std::get_if<failure_domain_id>(&subject);
        if (domain != nullptr && entry.word.out && !out_by_bundle_.contains(*domain)) {
            drained.push_back(*domain);
        }
    }
    std::erase_if(drained, [this](const auto& domain) { return !status(domain); });
    std::sort(drained.begin(), drained.end());
    return drained;
}

auto drain_state::drained_hosts() const -> std::vector<host_id>
{
    std::vector<host_id> drained;
    for (const auto& [host, entry] : hosts_) {
        drained.push_back(host);
    }
    for (const auto& [subject, entry] : operators_) {
        const auto* host = std::get_if<host_id>(&subject);
        if (host != nullptr && !hosts_.contains(*host)) {
            drained.push_back(*host);
        }
    }
    std::erase_if(drained, [this](const auto& host) { return !status(host); });
    std::sort(drained.begin(), drained.end());
    return drained;
}

auto drain_state::words() const -> std::vector<drain_notice>
{
    std::vector<drain_notice> words;
    for (const auto& [subject, entry] : operators_) {
        words.push_back(entry.word);
    }
    return words;
}

auto drain_state::next_number(const drain_subject& subject) const -> std::uint64_t
{
    const auto found = operators_.find(subject);
    return found == operators_.end() ? 1 : found->second.word.number + 1;
}

auto drain_state::host_entry_of(instant now, const host_id& host) -> host_entry&
{
    if (hosts_.size() >= limits_.max_hosts && !hosts_.contains(host)) {
        hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(), [](const auto& a, const auto& b) {
            return a.second.heard < b.second.heard;
        }));
    }
    const auto [found, added] = hosts_.try_emplace(host);
    if (added) {
        found->second.heard = now;
    }
    return found->second;
}

void drain_state::forget_hosts(instant now)
{
    std::erase_if(hosts_, [&](const auto& entry) { return now - entry.second.heard > limits_.forget_after; });
}

} // namespace dragonflymill
