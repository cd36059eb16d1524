#include "dragonflymill/bundle/bundle_manager.h"

#include "keeper_text.h"

#include <algorithm>

// Rejections and alarms of `bundle_manager`.

namespace dragonflymill {

namespace {

constexpr std::size_t max_list_entries = 16;

template <typename T>
void append_bounded(std::vector<T>& list, T item)
{
    if (list.size() >= max_list_entries) {
        list.erase(list.begin());
    }
    list.push_back(std::move(item));
}

} // namespace

void bundle_manager::reject(const bundle_origin& origin, error why, bundle_manager_outputs& outputs)
{
    reject_bundle rejection{origin, std::move(why)};
    append_bounded(rejections_, rejection);
    ++rejected_count_;
    outputs.push_back(std::move(rejection));
}

// A bundle's digest does not cover the signatures, so only this source is excluded: a fully signed copy from
// another source is still accepted.
void bundle_manager::reject_offer(instant now, const bundle_notice& word, const bundle_origin& origin,
                                  error why, bundle_manager_outputs& outputs)
{
    append_bounded(bad_offers_, {word, origin});
    reject(origin, std::move(why), outputs);
    boot_.remove(origin.peer);
    if (pending_ && pending_->word == word && !pending_->manifest) {
        std::erase(pending_->holders, origin.peer);
        ask_elsewhere(now, outputs);
    }
}

// Rejects an invalid bundle permanently: it is not fetched again from any source. The one in force stays.
void bundle_manager::reject_for_good(const bundle_notice& word, const bundle_origin& origin, error why,
                                     bundle_manager_outputs& outputs)
{
    append_bounded(bad_, word);
    boot_.forget(word);
    reject(origin, std::move(why), outputs);
    if (pending_ && pending_->word == word) {
        pending_.reset();
    }
}

void bundle_manager::note_conflict(const bundle_notice& other, const std::string& who,
                                   bundle_manager_outputs& outputs)
{
    const bool conflict =
        in_force_ && other.version == in_force_->word.version && other.digest != in_force_->word.digest;
    if (!conflict || std::find(conflicts_.begin(), conflicts_.end(), other) != conflicts_.end()) {
        return;
    }
    append_bounded(conflicts_, other);
    outputs.push_back(bundle_alarm{bundle_alarm::kind_type::two_of_one_version,
                                   "two bundles of " + text_of_version(other) + ": " +
                                       in_force_->word.digest.hex() + " here, " + other.digest.hex() +
                                       " from " + who + "; the lower digest is kept everywhere"});
}

void bundle_manager::note_stale_service(const bundle_notice& word, bundle_manager_outputs& outputs)
{
    if (stale_noted_ == word) {
        return;
    }
    stale_noted_ = word;
    outputs.push_back(bundle_alarm{bundle_alarm::kind_type::service_stale,
                                   "the configuration service has " + text_of_version(word) +
                                       ", older than what processes have"});
}

} // namespace dragonflymill
