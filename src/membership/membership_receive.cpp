#include "dragonflymill/membership/membership.h"

#include <algorithm>
#include <iterator>

// Handling of received datagrams.

namespace dragonflymill {

namespace {

constexpr std::size_t max_relays = 64;
constexpr std::size_t max_regions = 16;
constexpr std::size_t max_page_members = 12;
constexpr std::size_t page_bytes = 880;
// A later incarnation of this process's own id is a successor if this process has run longer than this, as
// the others know it by then. A younger process sees its own predecessor, whose clock was ahead.
constexpr duration min_uptime_to_yield = 30s;
constexpr duration mismatch_before_sync = 15s;
constexpr duration mismatch_before_sync_with_larger = 2s;

} // namespace

auto membership::receive(instant now, const datagram& message, const std::string& from) -> membership_outputs
{
    membership_outputs outputs;
    const auto& sender = message.sender;
    if (!message.receiver.empty() && message.receiver != self_.info.id) {
        ++counts_.misdirected;
        return outputs;
    }
    if (sender.info.id == self_.info.id) {
        hear_of_self(now, sender, outputs);
        return outputs;
    }
    const auto* record = table_.find(sender.info.id);
    if (record != nullptr && record->update.number.start > sender.number.start) {
        // A process that was paused has a successor: it receives the successor's state, and its datagram is
        // ignored.
        ++counts_.out_of_date;
        const auto successor = record->update;
        send(from, sender.info.id, announce_message{}, outputs);
        std::get<send_datagram>(outputs.back()).message.news = {successor};
        return outputs;
    }
    hear(now, sender, outputs);
    if (!known(message)) {
        ++counts_.replayed;
        return outputs;
    }
    heard_ = now;
    for (const auto& news : message.news) {
        hear(now, news, outputs);
    }
    for (const auto& word : message.drains) {
        outputs.push_back(drain_heard{word});
    }
    outputs.push_back(bundle_heard{sender.info.id, sender.info.domain, message.word});
    compare_digest(now, message);
    answer(now, message, from, outputs);
    return outputs;
}

// Returns whether the datagram is new. Datagrams of a sender that doesn't fit in the table are accepted
// unchecked.
auto membership::known(const datagram& message) -> bool
{
    auto* record = table_.find(message.sender.info.id);
    return record == nullptr || record->window.accept(message.sender.number.start, message.counter);
}

void membership::hear(instant now, const member_update& news, membership_outputs& outputs)
{
    if (news.info.id == self_.info.id) {
        hear_of_self(now, news, outputs);
        return;
    }
    const auto* before = table_.find(news.info.id);
    const auto state_before = before == nullptr ? member_state::dead : before->update.state;
    const auto start_before = before == nullptr ? incarnation() : before->update.number.start;
    if (!table_.merge(now, news)) {
        return;
    }
    if (!table_.find(news.info.id)->second_hand) {
        news_.add(news);
    }
    if (news.state != state_before || news.number.start != start_before) {
        outputs.push_back(member_changed{news});
    }
}

void membership::hear_of_self(instant now, const member_update& news, membership_outputs& outputs)
{
    if (news.number.start > self_.number.start) {
        if (now - started_ >= min_uptime_to_yield) {
            outputs.push_back(superseded{});
            return;
        }
        self_.number = {incarnation(news.number.start.value() + 1), 0};
        news_.add(self_);
        return;
    }
    const bool is_accusation = news.state == member_state::suspect || news.state == member_state::dead;
    const bool about_this_start = news.number.start == self_.number.start;
    if (is_accusation && about_this_start && news.number.refutation >= self_.number.refutation &&
        self_.state == member_state::alive) {
        ++counts_.false_alarms;
        self_.number.refutation = news.number.refutation + 1;
        news_.add(self_);
        auto refutations = announce();
        outputs.insert(outputs.end(), std::make_move_iterator(refutations.begin()),
                       std::make_move_iterator(refutations.end()));
    }
}

void membership::answer(instant now, const datagram& message, const std::string& from,
                        membership_outputs& outputs)
{
    const auto& body = message.body;
    if (const auto* ping_body = std::get_if<ping_message>(&body)) {
        send(from, message.sender.info.id, ack_message{ping_body->sequence}, outputs);
    }
    else if (const auto* ack = std::get_if<ack_message>(&body)) {
        if (const auto found = relays_.find(ack->sequence); found != relays_.end()) {
            send(found->second.address, found->second.requester, ack_message{found->second.sequence},
                 outputs);
            relays_.erase(found);
        }
        answer_ack(*ack, message.word);
    }
    else if (const auto* request = std::get_if<ping_request_message>(&body)) {
        relay_ping(now, *request, message, from, outputs);
    }
    else if (const auto* sync_request = std::get_if<sync_request_message>(&body)) {
        send_page(now, *sync_request, message, from, outputs);
    }
    else if (const auto* page = std::get_if<sync_page_message>(&body)) {
        take_page(now, *page, message);
    }
}

void membership::answer_ack(const ack_message& ack, const std::optional<bundle_notice>& word)
{
    if (!probe_ || probe_->sequence != ack.sequence) {
        return;
    }
    if (word && word_ && word->version <= word_->version) {
        bundle_confirmed_ = probe_->sent;
    }
    probe_.reset();
}

void membership::relay_ping(instant now, const ping_request_message& request, const datagram& message,
                            const std::string& from, membership_outputs& outputs)
{
    const auto* target = table_.find(request.target);
    if (target == nullptr || relays_.size() >= max_relays) {
        return;
    }
    ping(*target, outputs);
    relays_[sequence_] = {from, message.sender.info.id, request.sequence, now + settings_.probe_interval};
}

void membership::send_page(instant now, const sync_request_message& request, const datagram& message,
                           const std::string& from, membership_outputs& outputs)
{
    if (budget_ < page_bytes) {
        return;
    }
    std::vector<member_update> members;
    std::size_t bytes = 0;
    auto at = table_.records().upper_bound(request.after);
    for (; at != table_.records().end() && members.size() < max_page_members; ++at) {
        const auto& record = at->second;
        // Entries near the end of their retention are omitted; otherwise processes would keep reintroducing
        // them to each other.
        const bool near_expiry = !is_live(record) && now - record.since >= settings_.retention / 2;
        if (record.second_hand || near_expiry) {
            continue;
        }
        const auto size = size_bound(record.update);
        if (bytes + size > page_bytes) {
            break;
        }
        bytes += size;
        members.push_back(record.update);
    }
    send(from, message.sender.info.id, sync_page_message{at == table_.records().end()}, outputs);
    // The page replaces the queued updates, which are also sent with other datagrams.
    std::get<send_datagram>(outputs.back()).message.news = std::move(members);
    budget_ -= std::min(budget_, bytes);
}

void membership::take_page(instant now, const sync_page_message& page, const datagram& message)
{
    if (message.sender.info.id != sync_.peer || !sync_.waiting) {
        return;
    }
    sync_.waiting = false;
    if (page.last || message.news.empty()) {
        sync_.peer = {};
        sync_.after = {};
        joined_ = true;
        differs_since_[message.sender.info.region] = now;
        return;
    }
    sync_.after = message.news.back().info.id;
}

void membership::compare_digest(instant now, const datagram& message)
{
    // Tracked per region: members of this region converge quickly, while updates from other regions arrive
    // through few members.
    const auto& region = message.sender.info.region;
    if (message.members_digest == digest()) {
        differs_since_.erase(region);
        joined_ = true;
        return;
    }
    if (differs_since_.size() >= max_regions && !differs_since_.contains(region)) {
        return;
    }
    const auto since = differs_since_.try_emplace(region, now).first->second;
    // Updates in flight make tables differ for some seconds at any time; only a lasting difference justifies
    // a page-by-page sync. A peer that knows more members is asked earlier, since gossip alone takes too long
    // when many processes start together.
    const bool knows_more = message.members_count > table_.live_count() + 1;
    const auto sync_delay = knows_more ? mismatch_before_sync_with_larger : mismatch_before_sync;
    const bool should_sync = !joined_ || now - since >= sync_delay;
    if (should_sync && sync_.peer.empty()) {
        sync_ = {message.sender.info.id, {}, {}, false};
    }
}

} // namespace dragonflymill
