#include "dragonflymill/bundle/boot_answers.h"

#include <algorithm>
#include <set>

namespace dragonflymill {

namespace {

constexpr std::size_t max_answers = 256;
// A single failure domain may be partitioned and restarted as a whole, so its replies alone do not suffice.
constexpr std::size_t required_domains = 2;

} // namespace

boot_answers::boot_answers(boot_settings settings, instant now)
    : settings_(settings)
    , started_(now)
    , decided_(settings.stands_alone)
{
}

void boot_answers::asked(const process_id& peer)
{
    if (!decided_ && answers_.size() < max_answers) {
        answers_.try_emplace(peer);
    }
}

void boot_answers::add(instant now, const process_id& peer, const failure_domain_id& domain,
                       const std::optional<bundle_notice>& word)
{
    if (answers_.size() >= max_answers && !answers_.contains(peer)) {
        return;
    }
    answers_[peer] = {true, domain, word};
    if (word && !first_bundle_) {
        first_bundle_ = now;
    }
}

void boot_answers::remove(const process_id& peer)
{
    answers_.erase(peer);
}

void boot_answers::forget(const bundle_notice& word)
{
    std::erase_if(answers_, [&word](const auto& entry) { return entry.second.word == word; });
}

auto boot_answers::domains(bool with_bundle) const -> std::size_t
{
    std::set<failure_domain_id> found;
    for (const auto& [peer, given] : answers_) {
        if (given.given && given.word.has_value() == with_bundle) {
            found.insert(given.domain);
        }
    }
    return found.size();
}

auto boot_answers::all_answered() const -> bool
{
    return std::all_of(answers_.begin(), answers_.end(),
                       [](const auto& entry) { return entry.second.given; });
}

auto boot_answers::decided(instant now) -> bool
{
    const auto required = std::min(required_domains, settings_.failure_domains);
    const auto with_bundle = domains(true);
    const bool wait_elapsed = first_bundle_ && now - *first_bundle_ >= settings_.patience;
    // Lagging peers may reply first, so the other queried peers are awaited until `patience` expires.
    const bool found = (with_bundle >= required && all_answered()) || (with_bundle > 0 && wait_elapsed);
    // In a restarted, partitioned failure domain every reachable peer reports no bundle, exactly as at the
    // first start of the fleet. Replies from a second failure domain and a minimum wait distinguish the two.
    const bool first_start =
        with_bundle == 0 && domains(false) >= required && now - started_ >= settings_.first_start_patience;
    decided_ = decided_ || found || first_start;
    return decided_;
}

auto boot_answers::best() const -> std::optional<bundle_notice>
{
    std::optional<bundle_notice> highest;
    for (const auto& [peer, given] : answers_) {
        if (given.word && (!highest || supersedes(*given.word, *highest))) {
            highest = given.word;
        }
    }
    return highest;
}

auto boot_answers::holder(const bundle_notice& word) const -> std::optional<process_id>
{
    for (const auto& [peer, given] : answers_) {
        if (given.word == word) {
            return peer;
        }
    }
    return std::nullopt;
}

void boot_answers::close()
{
    answers_.clear();
    decided_ = true;
}

} // namespace dragonflymill
