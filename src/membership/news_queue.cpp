#include "dragonflymill/membership/news_queue.h"

#include <algorithm>

namespace dragonflymill {

namespace {

constexpr std::size_t max_members = 2'048;
constexpr std::size_t max_drains = 64;
constexpr std::size_t fixed_drain_bytes = 24;

template <typename Map>
void evict_if_full(Map& items, std::size_t bound)
{
    if (items.size() >= bound) {
        items.erase(std::max_element(items.begin(), items.end(), [](const auto& a, const auto& b) {
            return a.second.told < b.second.told;
        }));
    }
}

// Iterators of the items, the least sent first; ties keep the order of names, for determinism.
template <typename Map>
auto least_sent_first(Map& items) -> std::vector<typename Map::iterator>
{
    std::vector<typename Map::iterator> order;
    for (auto at = items.begin(); at != items.end(); ++at) {
        order.push_back(at);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a->second.told < b->second.told; });
    return order;
}

} // namespace

void news_queue::add(const member_update& update)
{
    if (!members_.contains(update.info.id)) {
        evict_if_full(members_, max_members);
    }
    members_[update.info.id] = {update, 0};
}

void news_queue::add(const drain_notice& word)
{
    if (!drains_.contains(word.subject)) {
        evict_if_full(drains_, max_drains);
    }
    drains_[word.subject] = {word, 0};
}

void news_queue::fill(datagram& message, std::size_t bytes, std::uint32_t times)
{
    for (const auto& at : least_sent_first(drains_)) {
        const auto size = size_bound(at->second.word);
        if (size > bytes || message.drains.size() >= max_datagram_drains) {
            break;
        }
        bytes -= size;
        message.drains.push_back(at->second.word);
        if (++at->second.told >= times) {
            drains_.erase(at);
        }
    }
    for (const auto& at : least_sent_first(members_)) {
        const auto size = size_bound(at->second.update);
        if (size > bytes || message.news.size() >= max_datagram_news) {
            break;
        }
        bytes -= size;
        message.news.push_back(at->second.update);
        if (++at->second.told >= times) {
            members_.erase(at);
        }
    }
}

auto size_bound(const drain_notice& word) -> std::size_t
{
    const auto* domain = std::get_if<failure_domain_id>(&word.subject);
    return fixed_drain_bytes +
           (domain != nullptr ? domain->text().size() : std::get<host_id>(word.subject).text().size());
}

} // namespace dragonflymill
