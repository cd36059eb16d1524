#include "dragonflymill/bundle/bundle_manager.h"

#include "dragonflymill/bundle/bundle_source.h"
#include "dragonflymill/core/assert.h"
#include "dragonflymill/core/guard.h"
#include "keeper_text.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr std::size_t max_holders = 8;

} // namespace

bundle_manager::bundle_manager(bundle_manager_settings settings, instant now)
    : settings_(std::move(settings))
    , keys_(settings_.trusted)
    , boot_(settings_.boot, now)
{
}

auto bundle_manager::peer_said(instant now, const process_id& peer, const failure_domain_id& domain,
                               const std::optional<bundle_notice>& word) -> bundle_manager_outputs
{
    bundle_manager_outputs outputs;
    if (!in_force_ && !(word && (known_bad(*word) || word->version < settings_.min_version))) {
        boot_.add(now, peer, domain, word);
    }
    if (word) {
        hear(now, peer, *word, outputs);
    }
    finish_pending(now, outputs);
    return outputs;
}

auto bundle_manager::peer_lost(instant now, const process_id& peer) -> bundle_manager_outputs
{
    bundle_manager_outputs outputs;
    boot_.remove(peer);
    if (pending_) {
        std::erase(pending_->holders, peer);
        if (pending_->origin.peer == peer && pending_->value == nullptr) {
            ask_elsewhere(now, outputs);
        }
    }
    finish_pending(now, outputs);
    return outputs;
}

auto bundle_manager::manifest_arrived(instant now, const bundle_origin& origin, const std::string& text)
    -> bundle_manager_outputs
{
    bundle_manager_outputs outputs;
    auto read = decode_signed_manifest(text);
    if (read.has_error()) {
        reject(origin, read.error(), outputs);
        return outputs;
    }
    if (origin.kind == bundle_origin_kind::service) {
        from_service_ = read.value();
    }
    consider(now, origin, std::move(read).value(), outputs);
    return outputs;
}

auto bundle_manager::section_arrived(instant now, const std::string& text) -> bundle_manager_outputs
{
    bundle_manager_outputs outputs;
    if (!pending_ || !pending_->manifest || text.size() > max_section_bytes) {
        return outputs;
    }
    const auto digest = sha256(text);
    const auto wanted = missing();
    if (std::find(wanted.begin(), wanted.end(), digest) != wanted.end()) {
        pending_->sections[digest] = std::make_shared<const std::string>(text);
        pending_->asked = now;
        finish_pending(now, outputs);
    }
    return outputs;
}

auto bundle_manager::tick(instant now, wall_instant wall) -> bundle_manager_outputs
{
    bundle_manager_outputs outputs;
    wall_ = wall;
    const bool ended = in_force_ && in_force_->value->term_end <= wall;
    if (ended && !term_ended_) {
        outputs.push_back(bundle_alarm{bundle_alarm::kind_type::term_ended, "the bundle's term is over"});
    }
    term_ended_ = ended;
    const bool waiting = pending_ && pending_->value == nullptr;
    if (waiting && now - pending_->asked >= settings_.fetch_timeout) {
        ask_elsewhere(now, outputs);
    }
    finish_pending(now, outputs);
    return outputs;
}

auto bundle_manager::word() const -> std::optional<bundle_notice>
{
    return in_force_ ? std::optional(in_force_->word) : std::nullopt;
}

auto bundle_manager::in_force() const -> std::shared_ptr<const bundle>
{
    return in_force_ ? in_force_->value : nullptr;
}

auto bundle_manager::pending() const -> std::optional<bundle_notice>
{
    return pending_ ? std::optional(pending_->word) : std::nullopt;
}

auto bundle_manager::manifest_text() const -> std::string
{
    return in_force_ ? encode_signed_manifest(in_force_->manifest) : std::string();
}

auto bundle_manager::section(const sha256_digest& digest) const -> std::shared_ptr<const std::string>
{
    if (!in_force_) {
        return nullptr;
    }
    const auto found = in_force_->sections.find(digest);
    return found == in_force_->sections.end() ? nullptr : found->second;
}

auto bundle_manager::known_bad(const bundle_notice& word) const -> bool
{
    return std::find(bad_.begin(), bad_.end(), word) != bad_.end();
}

// Prevents reverting to an older bundle that a stale configuration service or a resumed peer offers. A revert
// would, for example, send work to a drained failure domain or accept an account's old key. A bundle older
// than the one in force, `min_version` or, during start, the newest of any reachable peer is never adopted.
auto bundle_manager::too_old(const bundle_notice& word) const -> bool
{
    if (!guard_holds(guard::bundle_revert)) {
        return in_force_ && in_force_->word == word;
    }
    if (word.version < settings_.min_version) {
        return true;
    }
    return in_force_ && !supersedes(word, in_force_->word);
}

auto bundle_manager::missing() const -> std::vector<sha256_digest>
{
    std::vector<sha256_digest> digests;
    for (const auto& section : pending_->manifest->manifest.sections) {
        if (!pending_->sections.contains(section.digest)) {
            digests.push_back(section.digest);
        }
    }
    return digests;
}

auto bundle_manager::total_bytes(const bundle_manifest& manifest) const -> std::size_t
{
    std::size_t total = 0;
    for (const auto& section : manifest.sections) {
        total += section.bytes;
    }
    return total;
}

auto bundle_manager::known_bad_offer(const bundle_notice& word, const bundle_origin& origin) const -> bool
{
    return std::find(bad_offers_.begin(), bad_offers_.end(), bad_offer{word, origin}) != bad_offers_.end();
}

void bundle_manager::hear(instant now, const process_id& peer, const bundle_notice& word,
                          bundle_manager_outputs& outputs)
{
    note_conflict(word, peer.text(), outputs);
    if (too_old(word) || known_bad(word) || known_bad_offer(word, {bundle_origin_kind::peer, peer})) {
        return;
    }
    if (pending_ && pending_->word == word) {
        const bool known =
            std::find(pending_->holders.begin(), pending_->holders.end(), peer) != pending_->holders.end();
        if (!known && pending_->holders.size() < max_holders) {
            pending_->holders.push_back(peer);
        }
        return;
    }
    if (pending_ && !supersedes(word, pending_->word)) {
        return;
    }
    pending_ = pending_bundle{};
    pending_->word = word;
    pending_->origin = {bundle_origin_kind::peer, peer};
    pending_->holders.push_back(peer);
    ask(now, outputs);
}

void bundle_manager::consider(instant now, const bundle_origin& origin, signed_manifest value,
                              bundle_manager_outputs& outputs)
{
    const auto word = word_of(value.manifest);
    if ((in_force_ && in_force_->word == word) || known_bad(word)) {
        return;
    }
    auto keys = verify_manifest(value, keys_);
    if (keys.has_error()) {
        reject_offer(now, word, origin, keys.error(), outputs);
        return;
    }
    note_conflict(word, "a signed manifest", outputs);
    if (too_old(word)) {
        if (origin.kind == bundle_origin_kind::service) {
            note_stale_service(word, outputs);
        }
        reject(origin,
               error(error_kind::conflict,
                     text_of_version(word) + " is not newer than what is in force or allowed",
                     "raise the version and sign again; the bundle in force stays"),
               outputs);
        return;
    }
    if (total_bytes(value.manifest) > max_bundle_text) {
        reject_for_good(word, origin,
                        error(error_kind::limit_reached, "the bundle is larger than 8 MiB", "remove entries"),
                        outputs);
        return;
    }
    const bool newer_pending = pending_ && supersedes(pending_->word, word);
    if (!newer_pending) {
        take_up(now, origin, std::move(value), std::move(keys).value(), outputs);
    }
    else if (origin.kind == bundle_origin_kind::service) {
        note_stale_service(word, outputs);
    }
}

void bundle_manager::take_up(instant now, const bundle_origin& origin, signed_manifest value,
                             std::vector<partner_entry> keys, bundle_manager_outputs& outputs)
{
    const auto word = word_of(value.manifest);
    if (!pending_ || pending_->word != word) {
        pending_ = pending_bundle{};
        pending_->word = word;
    }
    if (pending_->manifest) {
        return;
    }
    pending_->origin = origin;
    pending_->manifest = std::move(value);
    pending_->keys = std::move(keys);
    pending_->fetches = 0;
    if (in_force_) {
        // Reuses unchanged sections, so that only changed ones are fetched.
        for (const auto& section : pending_->manifest->manifest.sections) {
            const auto found = in_force_->sections.find(section.digest);
            if (found != in_force_->sections.end()) {
                pending_->sections.insert(*found);
            }
        }
    }
    if (!missing().empty()) {
        ask(now, outputs);
    }
    finish_pending(now, outputs);
}

void bundle_manager::ask(instant now, bundle_manager_outputs& outputs)
{
    pending_->asked = now;
    ++pending_->fetches;
    if (!pending_->manifest) {
        outputs.push_back(fetch_manifest{pending_->origin.peer, pending_->word});
    }
    else if (pending_->origin.kind != bundle_origin_kind::operator_push) {
        outputs.push_back(fetch_sections{pending_->origin, missing()});
    }
}

void bundle_manager::ask_elsewhere(instant now, bundle_manager_outputs& outputs)
{
    const bool from_peers = !pending_->holders.empty();
    const bool from_service = from_service_ && word_of(from_service_->manifest) == pending_->word;
    if (pending_->fetches >= settings_.max_fetches || (!from_peers && !from_service)) {
        drop_pending(now, outputs);
        return;
    }
    if (from_peers) {
        // Moves the peer that did not reply to the end (round robin).
        std::rotate(pending_->holders.begin(), pending_->holders.begin() + 1, pending_->holders.end());
        pending_->origin = {bundle_origin_kind::peer, pending_->holders.front()};
    }
    else {
        pending_->origin = {};
    }
    ask(now, outputs);
}

// Drops the pending bundle and continues with the newest other one known.
void bundle_manager::drop_pending(instant now, bundle_manager_outputs& outputs)
{
    const auto dropped = pending_->word;
    for (const auto& peer : pending_->holders) {
        boot_.remove(peer);
    }
    pending_.reset();
    const auto best = boot_.best();
    if (!in_force_ && best && *best != dropped) {
        hear(now, *boot_.holder(*best), *best, outputs);
    }
    if (!pending_ && from_service_ && word_of(from_service_->manifest) != dropped) {
        auto again = *from_service_;
        consider(now, {}, std::move(again), outputs);
    }
}

void bundle_manager::finish_pending(instant now, bundle_manager_outputs& outputs)
{
    if (!pending_ || !pending_->manifest || !missing().empty()) {
        return;
    }
    if (pending_->value == nullptr) {
        std::vector<std::string> texts;
        for (const auto& section : pending_->manifest->manifest.sections) {
            texts.push_back(*pending_->sections.at(section.digest));
        }
        auto value = assemble_bundle(pending_->manifest->manifest, std::move(texts));
        if (value.has_error()) {
            reject_for_good(pending_->word, pending_->origin, value.error(), outputs);
            return;
        }
        pending_->value = std::make_shared<const bundle>(std::move(value).value());
    }
    if (wall_ && pending_->value->term_end <= *wall_) {
        // Keeps the bundle pending, so that it is adopted once a wrong clock is corrected.
        if (!std::exchange(pending_->term_over, true)) {
            reject(pending_->origin,
                   error(error_kind::invalid_input, "the bundle's term is over by this host's clock",
                         "sign one with a later term_end, or set the clock right"),
                   outputs);
        }
        return;
    }
    const auto best = boot_.best();
    const bool must_wait = !in_force_ && (!boot_.decided(now) || (best && supersedes(*best, pending_->word)));
    if (!must_wait || !guard_holds(guard::bundle_revert)) {
        adopt_pending(outputs);
    }
}

void bundle_manager::adopt_pending(bundle_manager_outputs& outputs)
{
    if (guard_holds(guard::bundle_revert)) {
        DRAGONFLYMILL_ASSERT(!in_force_ || supersedes(pending_->word, in_force_->word),
                             "an adopted bundle must supersede the one in force");
    }
    in_force_ = held_bundle{pending_->word, std::move(*pending_->manifest), pending_->value,
                            std::move(pending_->sections)};
    keys_ = std::move(pending_->keys);
    pending_.reset();
    term_ended_ = false;
    boot_.close();
    outputs.push_back(adopt_bundle{in_force_->word, in_force_->value});
}

} // namespace dragonflymill
